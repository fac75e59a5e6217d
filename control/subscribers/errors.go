package subscribers

import "fmt"

// InvalidRecordError reports an entry of the shared map that is no subscription.
type InvalidRecordError struct{ Name, Reason string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("entry %.80q is no subscription: %s", e.Name, e.Reason)
}

// Advice tells an operator what to do.
func (e *InvalidRecordError) Advice() string {
	return "See which instance runs another version; the entry is passed over and its subscriber is not served here."
}

// InvalidSubscriptionError reports a subscription that cannot be accepted.
type InvalidSubscriptionError struct {
	Key    Key
	Reason string
}

func (e *InvalidSubscriptionError) Error() string {
	return fmt.Sprintf("subscription %.80s: %s", e.Key, e.Reason)
}

// Advice tells an operator what to do.
func (e *InvalidSubscriptionError) Advice() string {
	return "Mend the subscription where it comes from; nothing of it was taken in."
}

// NotSubscribedError reports a change to a subscriber that is unknown or has unsubscribed.
type NotSubscribedError struct {
	Key                 Key
	UnsubscribedConsent uint64 // of the unsubscription, 0 where there is none
}

func (e *NotSubscribedError) Error() string {
	if e.UnsubscribedConsent > 0 {
		return fmt.Sprintf("%s unsubscribed (consent %d)", e.Key, e.UnsubscribedConsent)
	}
	return fmt.Sprintf("%s is not subscribed", e.Key)
}

// Advice tells an operator what to do.
func (e *NotSubscribedError) Advice() string {
	return "Subscribe it anew if the subscriber wants it; a change alone brings nobody back."
}

// ListFullError reports a list that has reached MaxSubscriptions.
type ListFullError struct{ Count, Max int }

func (e *ListFullError) Error() string {
	return fmt.Sprintf("%d subscriptions are held, %d at the most", e.Count, e.Max)
}

// Advice tells an operator what to do.
func (e *ListFullError) Advice() string {
	return "Split the tenants over two fleets; unsubscribed entries go by themselves after 90 days while all instances are heard."
}

// StaleFileError reports a region's file that is older than the one in force, or differs from it in the same generation.
type StaleFileError struct {
	Region                        string
	Generation, CurrentGeneration int64
}

func (e *StaleFileError) Error() string {
	if e.Generation == e.CurrentGeneration {
		return fmt.Sprintf("the file of region %s has generation %d, as another one has that is in force", e.Region, e.CurrentGeneration)
	}
	return fmt.Sprintf("the file of region %s has generation %d, %d is in force", e.Region, e.Generation, e.CurrentGeneration)
}

// Advice tells an operator what to do.
func (e *StaleFileError) Advice() string {
	return "Give the file that is meant a generation above the one in force; until then nothing of it is taken in."
}

// StaleLineError reports a line of a file about a subscriber that has unsubscribed since.
type StaleLineError struct {
	Key                              Key
	LineConsent, UnsubscribedConsent uint64 // of the line, and of the unsubscription
}

func (e *StaleLineError) Error() string {
	return fmt.Sprintf("%s stands in the file with consent %d and unsubscribed at %d", e.Key, e.LineConsent, e.UnsubscribedConsent)
}

// Advice tells an operator what to do.
func (e *StaleLineError) Advice() string {
	return fmt.Sprintf("Take the line out; only if the subscriber asked again since, give it consent: %d.", e.UnsubscribedConsent+1)
}

// InvalidLineError reports a fault in one line of a file of JSON lines.
type InvalidLineError struct {
	Line   int
	Reason string
}

func (e *InvalidLineError) Error() string { return fmt.Sprintf("[%d:1] %s", e.Line, e.Reason) }

// Advice tells an operator what to do.
func (e *InvalidLineError) Advice() string {
	return "Mend the line that is named; `chalkring check FILE` looks at the file again. Until then the last good file is in force."
}
