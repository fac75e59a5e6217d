package subscribers

import "fmt"

// BadRecord is an entry of the ledger that is no subscription.
type BadRecord struct{ Name, Why string }

func (e *BadRecord) Error() string {
	return fmt.Sprintf("entry %.80q is no subscription: %s", e.Name, e.Why)
}
func (e *BadRecord) Advice() string {
	return "See which instance runs another version; the entry is passed over and its subscriber is not served here."
}

// BadAsk is a subscription that cannot be taken.
type BadAsk struct {
	Key Key
	Why string
}

func (e *BadAsk) Error() string { return fmt.Sprintf("subscription %.80s: %s", e.Key, e.Why) }
func (e *BadAsk) Advice() string {
	return "Mend the subscription where it comes from; nothing of it was taken in."
}

// NotSubscribed is a change to a subscriber that is not there or has left.
type NotSubscribed struct {
	Key     Key
	Consent uint64 // of its unsubscription, 0 where there is none
}

func (e *NotSubscribed) Error() string {
	if e.Consent > 0 {
		return fmt.Sprintf("%s unsubscribed (consent %d)", e.Key, e.Consent)
	}
	return fmt.Sprintf("%s is not subscribed", e.Key)
}
func (e *NotSubscribed) Advice() string {
	return "Subscribe it anew if the subscriber wants it; a change alone brings nobody back."
}

// Full is a list that takes no more.
type Full struct{ Held, Most int }

func (e *Full) Error() string {
	return fmt.Sprintf("%d subscriptions are held, %d at the most", e.Held, e.Most)
}
func (e *Full) Advice() string {
	return "Split the tenants over two fleets; unsubscribed entries go by themselves after 90 days while all instances are heard."
}

// OldFile is a region's file older than one that was in force, or another of the same generation.
type OldFile struct {
	Region           string
	Generation, Held int64
}

func (e *OldFile) Error() string {
	if e.Generation == e.Held {
		return fmt.Sprintf("the file of region %s has generation %d, as another one has that is in force", e.Region, e.Held)
	}
	return fmt.Sprintf("the file of region %s has generation %d, %d is in force", e.Region, e.Generation, e.Held)
}
func (e *OldFile) Advice() string {
	return "Give the file that is meant a generation above the one in force; until then nothing of it is taken in."
}

// Stale is a line of a file about a subscriber that has left since.
type Stale struct {
	Key           Key
	Line, Consent uint64 // of the file, and of the unsubscription
}

func (e *Stale) Error() string {
	return fmt.Sprintf("%s stands in the file with consent %d and unsubscribed at %d", e.Key, e.Line, e.Consent)
}
func (e *Stale) Advice() string {
	return fmt.Sprintf("Take the line out; only if the subscriber asked again since, give it consent: %d.", e.Consent+1)
}
