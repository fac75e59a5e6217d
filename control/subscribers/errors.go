package subscribers

import "fmt"

// InvalidRecordError reports an entry of the shared map that is not a valid subscription.
type InvalidRecordError struct{ Name, Reason string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("entry %.80q is not a valid subscription: %s", e.Name, e.Reason)
}

// Advice tells an operator what to do.
func (e *InvalidRecordError) Advice() string {
	return "Find the instance that runs another version; the entry is ignored and its subscriber is not served here."
}

// InvalidSubscriptionError reports a subscription that cannot be accepted.
type InvalidSubscriptionError struct {
	Key    Key
	Reason string
}

func (e *InvalidSubscriptionError) Error() string {
	return fmt.Sprintf("subscription %.80s is rejected: %s", e.Key, e.Reason)
}

// Advice tells an operator what to do.
func (e *InvalidSubscriptionError) Advice() string {
	return "Correct the subscription at its source; no part of it was accepted."
}

// NotSubscribedError reports a change to a subscriber that is unknown or has unsubscribed.
type NotSubscribedError struct {
	Key                 Key
	UnsubscribedConsent uint64 // of the unsubscription, 0 if there was none
}

func (e *NotSubscribedError) Error() string {
	if e.UnsubscribedConsent > 0 {
		return fmt.Sprintf("%s is not subscribed: it unsubscribed at consent %d", e.Key, e.UnsubscribedConsent)
	}
	return fmt.Sprintf("%s is not subscribed", e.Key)
}

// Advice tells an operator what to do.
func (e *NotSubscribedError) Advice() string {
	return "Subscribe it again if the subscriber asks for that; a change of details does not resubscribe it."
}

// ListFullError reports a list that has reached MaxSubscriptions.
type ListFullError struct{ Count, Max int }

func (e *ListFullError) Error() string {
	return fmt.Sprintf("the list holds %d subscriptions, at most %d are allowed", e.Count, e.Max)
}

// Advice tells an operator what to do.
func (e *ListFullError) Advice() string {
	return "Split the tenants between two fleets; unsubscribed entries are deleted after 90 days while all voting members are alive."
}

// StaleFileError reports a region's file that is older than the active one, or that differs from it within the same
// generation.
type StaleFileError struct {
	Region                        string
	Generation, CurrentGeneration int64
}

func (e *StaleFileError) Error() string {
	if e.Generation == e.CurrentGeneration {
		return fmt.Sprintf("the file of region %s has generation %d, like the active file, but differs from it", e.Region, e.CurrentGeneration)
	}
	return fmt.Sprintf("the file of region %s has generation %d, but generation %d is active", e.Region, e.Generation, e.CurrentGeneration)
}

// Advice tells an operator what to do.
func (e *StaleFileError) Advice() string {
	return "Give the intended file a generation above the active one; until then it is not applied."
}

// StaleLineError reports a line of a file about a subscriber that has unsubscribed since.
type StaleLineError struct {
	Key                              Key
	LineConsent, UnsubscribedConsent uint64 // of the line, and of the unsubscription
}

func (e *StaleLineError) Error() string {
	return fmt.Sprintf("%s has a line in the file with consent %d, but unsubscribed at consent %d", e.Key, e.LineConsent, e.UnsubscribedConsent)
}

// Advice tells an operator what to do.
func (e *StaleLineError) Advice() string {
	return fmt.Sprintf("Remove the line; only if the subscriber has asked again since, give it consent: %d.", e.UnsubscribedConsent+1)
}

// InvalidLineError reports a fault in one line of a file of JSON lines.
type InvalidLineError struct {
	Line   int
	Reason string
}

func (e *InvalidLineError) Error() string { return fmt.Sprintf("[%d:1] %s", e.Line, e.Reason) }

// Advice tells an operator what to do.
func (e *InvalidLineError) Advice() string {
	return "Correct that line; `chalkring check FILE` checks the file again. Until then the last valid file stays active."
}
