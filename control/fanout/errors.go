package fanout

import "fmt"

// RegionMismatchError reports a file that belongs to another region.
type RegionMismatchError struct{ FileRegion, OwnRegion string }

func (e *RegionMismatchError) Error() string {
	return fmt.Sprintf("the file belongs to region %s, but this instance is in region %s", e.FileRegion, e.OwnRegion)
}

// Advice tells an operator what to do.
func (e *RegionMismatchError) Advice() string {
	return "Install the file of this instance's region, or correct `region` in the file or in the section `fleet`."
}

// ZoneForbiddenError reports a subscription of a tenant whose contract forbids its entries in a zone in which an
// instance holds the list.
type ZoneForbiddenError struct{ Tenant, Zone string }

func (e *ZoneForbiddenError) Error() string {
	return fmt.Sprintf("entries of tenant %.60q may not be in zone %.60q, where instances of this fleet hold the list", e.Tenant, e.Zone)
}

// Advice tells an operator what to do.
func (e *ZoneForbiddenError) Advice() string {
	return "Serve the tenant from a separate fleet whose instances are all in zones that its contract allows."
}

// DeliveryFailedError reports a delivery that its receiver did not accept.
type DeliveryFailedError struct {
	Destination string
	Err         error
}

func (e *DeliveryFailedError) Error() string {
	return fmt.Sprintf("delivery to %s: %v", e.Destination, e.Err)
}

// Unwrap returns the cause.
func (e *DeliveryFailedError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *DeliveryFailedError) Advice() string {
	return "Check the receiver; what it has missed is delivered after the next search of the subscriber."
}

// SearchFailedError reports a standing search that had no result.
type SearchFailedError struct{ Reason string }

func (e *SearchFailedError) Error() string { return "standing search had no result: " + e.Reason }

// Advice tells an operator what to do.
func (e *SearchFailedError) Advice() string {
	return "If this repeats, check that the plan has the type and the tenant and that the hosts have capacity; the search runs again after its interval."
}
