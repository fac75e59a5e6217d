package fanout

import "fmt"

// RegionMismatchError reports another region's file.
type RegionMismatchError struct{ FileRegion, OwnRegion string }

func (e *RegionMismatchError) Error() string {
	return fmt.Sprintf("the file is region %s's, this instance stands in %s", e.FileRegion, e.OwnRegion)
}

// Advice tells an operator what to do.
func (e *RegionMismatchError) Advice() string {
	return "Put the own region's file in place, or mend `region` in it or in the section `fleet`."
}

// ZoneForbiddenError reports a subscription of a tenant whose contract keeps its entries from a zone in which an
// instance holds the list.
type ZoneForbiddenError struct{ Tenant, Zone string }

func (e *ZoneForbiddenError) Error() string {
	return fmt.Sprintf("entries of tenant %.60q may not be in zone %.60q, where instances of this fleet keep the list", e.Tenant, e.Zone)
}

// Advice tells an operator what to do.
func (e *ZoneForbiddenError) Advice() string {
	return "Serve the tenant by a fleet of its own whose instances all stand in zones of its contract."
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
	return "Look at the receiver; what it lacks is handed over after the next search of the subscriber."
}

// SearchFailedError reports a standing search without a result.
type SearchFailedError struct{ Reason string }

func (e *SearchFailedError) Error() string { return "standing search: " + e.Reason }

// Advice tells an operator what to do.
func (e *SearchFailedError) Advice() string {
	return "If it repeats: see whether type and tenant stand in the plan, and whether hosts have room; it runs again after its period."
}
