package subscribers

import "fmt"

// InvalidRecordError is an entry of the ledger that is no subscription.
type InvalidRecordError struct{ Name, Reason string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("entry %.80q is no subscription: %s", e.Name, e.Reason)
}

func (e *InvalidRecordError) Advice() string {
	return "See which instance runs another version; the entry is passed over and its subscriber is not served here."
}

// InvalidSubscriptionError is a subscription that cannot be taken.
type InvalidSubscriptionError struct {
	Key    Key
	Reason string
}

func (e *InvalidSubscriptionError) Error() string {
	return fmt.Sprintf("subscription %.80s: %s", e.Key, e.Reason)
}

func (e *InvalidSubscriptionError) Advice() string {
	return "Mend the subscription where it comes from; nothing of it was taken in."
}

// NotSubscribedError is a change to a subscriber that is not there or has left.
type NotSubscribedError struct {
	Key                 Key
	UnsubscribedConsent uint64 // of its unsubscription, 0 where there is none
}

func (e *NotSubscribedError) Error() string {
	if e.UnsubscribedConsent > 0 {
		return fmt.Sprintf("%s unsubscribed (consent %d)", e.Key, e.UnsubscribedConsent)
	}
	return fmt.Sprintf("%s is not subscribed", e.Key)
}

func (e *NotSubscribedError) Advice() string {
	return "Subscribe it anew if the subscriber wants it; a change alone brings nobody back."
}

// ListFullError is a list that takes no more.
type ListFullError struct{ Count, Max int }

func (e *ListFullError) Error() string {
	return fmt.Sprintf("%d subscriptions are held, %d at the most", e.Count, e.Max)
}

func (e *ListFullError) Advice() string {
	return "Split the tenants over two fleets; unsubscribed entries go by themselves after 90 days while all instances are heard."
}

// StaleFileError is a region's file older than one that was in force, or another of the same generation.
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

func (e *StaleFileError) Advice() string {
	return "Give the file that is meant a generation above the one in force; until then nothing of it is taken in."
}

// StaleLineError is a line of a file about a subscriber that has left since.
type StaleLineError struct {
	Key                              Key
	LineConsent, UnsubscribedConsent uint64 // of the file, and of the unsubscription
}

func (e *StaleLineError) Error() string {
	return fmt.Sprintf("%s stands in the file with consent %d and unsubscribed at %d", e.Key, e.LineConsent, e.UnsubscribedConsent)
}

func (e *StaleLineError) Advice() string {
	return fmt.Sprintf("Take the line out; only if the subscriber asked again since, give it consent: %d.", e.UnsubscribedConsent+1)
}
