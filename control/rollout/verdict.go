package rollout

// Verdict is what becomes of a change. Instances exchange their verdicts, and the one with the highest precedence holds
// everywhere.
type Verdict struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	Order     Order  `cbor:"2,keyasint"`
	Reason    string `cbor:"3,keyasint,omitempty"`
	DecidedBy string `cbor:"4,keyasint,omitempty"`
}

// overrides reports whether a verdict takes precedence over another: the higher epoch, then the higher order. Of two
// that order the same, the fields that only inform decide, so that all instances end with one verdict.
func (v Verdict) overrides(other Verdict) bool {
	switch {
	case v.Epoch != other.Epoch:
		return v.Epoch > other.Epoch
	case v.Order != other.Order:
		return v.Order > other.Order
	case v.DecidedBy != other.DecidedBy:
		return v.DecidedBy < other.DecidedBy && v.DecidedBy != "" || other.DecidedBy == ""
	}
	return v.Reason < other.Reason
}
