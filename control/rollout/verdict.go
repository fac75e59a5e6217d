package rollout

// Verdict decides what is done with a change. Instances exchange their verdicts, and all adopt the one with the highest
// precedence.
type Verdict struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	Order     Order  `cbor:"2,keyasint"`
	Reason    string `cbor:"3,keyasint,omitempty"`
	DecidedBy string `cbor:"4,keyasint,omitempty"`
}

// overrides reports whether a verdict takes precedence over another: by the higher epoch, then by the higher order. If
// these are equal, the informative fields decide, so that all instances end up with the same verdict.
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
