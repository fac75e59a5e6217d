package residency

import (
	"maps"
	"slices"
)

// Book keeps the policies that count: the newest generation, in each wording that is known, and the one it stands
// beside. It is one goroutine's. The same policies told in any order, once or often, leave the same book.
type Book struct {
	top  uint64
	held map[uint64][]*Policy // by generation; several that differ are all held
	torn map[uint64]bool      // generations with more wordings than are held
}

// Tell takes a policy. A Stale one changes nothing; one that Differs from another of its generation holds beside it. The
// error says what an operator has to know, also where something has changed.
func (b *Book) Tell(p *Policy) (changed bool, err error) {
	if b.held == nil {
		b.held, b.torn = map[uint64][]*Policy{}, map[uint64]bool{}
	}
	if p.Generation < b.top && !b.wanted()[p.Generation] {
		return false, &Stale{p.Source, p.Generation, b.top}
	}
	of := b.held[p.Generation]
	switch {
	case slices.ContainsFunc(of, func(o *Policy) bool { return string(o.Text) == string(p.Text) }):
		return false, nil
	case len(of) >= rivalsMost:
		changed = !b.torn[p.Generation]
		b.torn[p.Generation] = true
		return changed, &Differs{p.Source, p.Generation}
	case len(of) > 0:
		err = &Differs{p.Source, p.Generation}
	}
	of = append(slices.Clone(of), p)
	slices.SortFunc(of, func(x, y *Policy) int { return slices.Compare(x.Text, y.Text) })
	b.held[p.Generation], b.top = of, max(b.top, p.Generation)
	wanted := b.wanted()
	for g := range b.held {
		if !wanted[g] {
			delete(b.held, g)
			delete(b.torn, g)
		}
	}
	return true, err
}

// wanted are the generations that hold: the newest, and those that its wordings stand beside.
func (b *Book) wanted() map[uint64]bool {
	all := map[uint64]bool{b.top: true}
	for _, p := range b.held[b.top] {
		if p.Beside > 0 {
			all[p.Beside] = true
		}
	}
	return all
}

// Generation is the newest that is known, 0 for none.
func (b *Book) Generation() uint64 { return b.top }

// Policies are all that are held, the older generation first.
func (b *Book) Policies() (all []*Policy) {
	for _, g := range slices.Sorted(maps.Keys(b.held)) {
		all = append(all, b.held[g]...)
	}
	return all
}

// Lacks names a policy that must be held and is not known; nil where there is none.
func (b *Book) Lacks() *Missing {
	for _, g := range slices.Sorted(maps.Keys(b.wanted())) {
		if len(b.held[g]) == 0 && g > 0 {
			return &Missing{b.top, g}
		}
	}
	return nil
}

// Standing is what is in force with a lease that ends then; nil while no policy is known. Of times that policies state
// differently the stricter holds.
func (b *Book) Standing(until int64) *Standing {
	if b.top == 0 {
		return nil
	}
	s := &Standing{Generation: b.top, Until: until, Blind: len(b.torn) > 0 || b.Lacks() != nil, zones: map[string]int{}, Lease: leaseMost}
	for _, p := range b.Policies() {
		s.tables = append(s.tables, compile(p, s.zones))
		s.Lease, s.Slack, s.Rest = min(s.Lease, p.Lease), max(s.Slack, p.Slack), max(s.Rest, p.Rest)
		if p.Generation == b.top && p.By > 0 && (s.By == 0 || p.By < s.By) {
			s.By = p.By
		}
	}
	return s
}

// Nothing is in force where no policy is known: nobody's parts run anywhere.
func Nothing() *Standing {
	zones := map[string]int{}
	return &Standing{Until: never, Lease: leaseMost, zones: zones, tables: []*table{compile(&Policy{Nowhere: true}, zones)}}
}

// Renews tells whether a standing differs from another in the end of its lease alone.
func (s *Standing) Renews(o *Standing) bool {
	return o != nil && s.Blind == o.Blind && len(s.tables) == len(o.tables) && &s.tables[0] == &o.tables[0]
}

// With is the same with another end of the lease.
func (s *Standing) With(until int64) *Standing {
	own := *s
	own.Until = until
	return &own
}
