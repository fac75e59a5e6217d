package residency

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/internal/advice"
)

var site = Site{Tenants: []string{"acme", "bolt", "core"}, Classes: []string{"lookup", "deep"}, Zones: []string{"eu-1", "eu-2", "us-1"}, Blocks: 4}

func parse(t require.TestingT, text string) *Policy {
	p, err := ParsePolicy("file", []byte(text), site)
	require.NoError(t, err)
	return p
}

func wall(text string) int64 {
	t, _ := time.Parse(time.RFC3339, text)
	return t.UnixMicro() / 100
}

const head = "generation: 3\ndefault: anywhere\n"

// Each thing that may be wrong with a file is named with its line and column, and with what to do.
func TestFaultsAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"default: anywhere\ncontracts: []":                                                    "generation: 0: a number from 1 on",
		"generation: 3\ncontracts: []":                                                        "default: \"\" is neither",
		head:                                                                                  "no contracts",
		head + "beside: 3\ncontracts: []":                                                     "[3:9] beside: 3 is no generation before 3",
		head + "lease: 10ms\ncontracts: []":                                                   "[3:8] lease: 10ms is not from 1s",
		head + "contracts:\n- {tenant: acmee, zones: [eu-1]}":                                 "[4:12] contracts[0].tenant: unknown tenant \"acmee\"",
		head + "contracts:\n- {tenant: acme, class: x, zones: [eu-1]}":                        "[4:25] contracts[0].class: unknown class \"x\"",
		head + "contracts:\n- {tenant: acme, zones: [eu-1, eu-9]}":                            "[4:32] contracts[0].zones[1]: unknown zone \"eu-9\"",
		head + "contracts:\n- {tenant: acme, zones: [eu-1, eu-1]}":                            "[4:32] contracts[0].zones[1]: zone \"eu-1\" is there twice",
		head + "contracts:\n- {tenant: acme}":                                                 "names no zones",
		head + "contracts:\n- {block: 4, zones: [eu-1]}":                                      "[4:11] contracts[0].block: 4 is no block",
		head + "contracts:\n- {block: 1, tenant: acme, zones: [eu-1]}":                        "not both",
		head + "contracts:\n- {zones: [eu-1]}":                                                "neither a tenant nor a block",
		head + "contracts:\n- {tenant: acme, zones: [eu-1], from: x}":                         "is no time such as",
		head + "contracts:\n- {tenant: acme, zones: [eu-1], otherwise: widen}":                "\"widen\" is neither refuse nor part",
		head + "contracts:\n- {tenant: acme, zones: [eu-1], after: default}":                  "no end to come after",
		head + "contracts:\n- {tenant: acme, zones: [eu-1]}\n- {tenant: acme, zones: [eu-2]}": "[5:3] contracts[1].from: tenant acme has two contracts at once: that of line 4",
		head + "contracts:\n- {tenant: acme, zones: [eu-1], until: 2027-01-01T00:00:00Z}\n- {tenant: acme, zones: [eu-2], from: 2027-01-02T00:00:00Z}": "[5:39] contracts[1].from: tenant acme has a gap of 24h0m0s after the contract of line 4",
		head + "contracts: []\nzone: x": "unknown field",
	} {
		_, err := ParsePolicy("file", []byte(text), site)
		require.ErrorContains(t, err, want, text)
		require.NotEmpty(t, advice.For(err), text)
	}
	require.True(t, IsPolicyFile([]byte(head+"contracts:\n- {tenant: acme, zones: [eu-1]}")))
	require.False(t, IsPolicyFile([]byte("peers:\n  name: n0")))
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, err := range []advice.Provider{
		&SearchRejectedError{Reason: ReasonNoEligibleHost}, &SearchRejectedError{Reason: ReasonLeaseExpired}, &SearchRejectedError{Reason: ReasonContractEnded}, &StalePolicyError{}, &ConflictingPoliciesError{}, &MissingPolicyError{}, &UnreachableBlocksError{},
		&LeaseExpiredError{}, &LeaseExpiredError{SkewedClocks: 1}, &EnforcementOverdueError{}, &PoliciesUnreadableError{errors.New("x")},
	} {
		require.NotEmpty(t, err.Advice())
		require.NotEmpty(t, err.Error())
		require.Contains(t, string(page), "`"+strings.TrimPrefix(fmt.Sprintf("%T", err), "*residency.")+"`", "docs/oncall.md lists it")
	}
	text, err := os.ReadFile("../../deploy/residency.yaml")
	require.NoError(t, err)
	require.True(t, IsPolicyFile(text))
	p, err := ParsePolicy("deploy/residency.yaml", text, Site{})
	require.NoError(t, err)
	require.Len(t, p.Contracts, 5)
}

func standing(t require.TestingT, until int64, texts ...string) *CompiledPolicy {
	var b PolicyRegistry
	for _, text := range texts {
		changed, err := b.AddPolicy(parse(t, text))
		require.NoError(t, err)
		require.True(t, changed)
	}
	return b.Compile(until)
}

func (s *CompiledPolicy) may(now int64, tenant, class string, block int, zone string) bool {
	r := s.RuleFor(now, tenant, class, block)
	return r.AllowsZone(s.ZoneIndex(zone))
}

// Where several contracts apply, the strictest of all holds; a zone that no contract names is nobody's; a contract's end
// with nothing after it is no widening.
func TestTheStrictestHolds(t *testing.T) {
	s := standing(t, never, head+`contracts:
- {tenant: acme, zones: [eu-1, eu-2], otherwise: part}
- {tenant: acme, class: deep, zones: [eu-2, us-1]}
- {tenant: bolt, zones: [eu-1], until: 2027-01-01T00:00:00Z}
- {tenant: core, zones: [eu-1], from: 2026-06-01T00:00:00Z, until: 2027-01-01T00:00:00Z, after: default}
- {block: 2, zones: [eu-1, us-1]}`)
	now := wall("2026-12-01T00:00:00Z")
	for _, x := range []struct {
		tenant, class string
		block         int
		want          string
	}{
		{"acme", "lookup", 0, "eu-1 eu-2"},
		{"acme", "lookup", 2, "eu-1"},
		{"acme", "deep", 0, "eu-2"},
		{"acme", "deep", 2, ""},
		{"bolt", "deep", 0, "eu-1"},
		{"else", "lookup", 0, "eu-1 eu-2 us-1 us-9"},
		{"else", "lookup", 2, "eu-1 us-1"},
	} {
		var got []string
		for _, zone := range []string{"eu-1", "eu-2", "us-1", "us-9"} {
			if s.may(now, x.tenant, x.class, x.block, zone) {
				got = append(got, zone)
			}
		}
		require.Equal(t, x.want, strings.Join(got, " "), x)
	}
	r := s.RuleFor(now, "acme", "lookup", 0)
	require.True(t, r.AllowPartial)
	r = s.RuleFor(now, "acme", "deep", 0)
	require.False(t, r.AllowPartial, "one of both refuses")
	require.True(t, s.AllowsTenantData(now, "acme", "eu-2"))
	require.False(t, s.AllowsTenantData(now, "acme", "eu-1"), "the class deep may not be there")
	require.True(t, s.AllowsTenantData(now, "else", "us-9"))
	later := wall("2028-01-01T00:00:00Z")
	r = s.RuleFor(later, "bolt", "deep", 0)
	require.True(t, r.ContractEnded)
	require.False(t, s.may(later, "bolt", "deep", 0, "eu-1"))
	require.True(t, s.may(later, "core", "deep", 0, "us-1"))
	begins := wall("2026-06-01T00:00:00Z")
	require.True(t, s.may(begins-s.MaxClockSkew-1, "core", "deep", 0, "us-1"))
	require.False(t, s.may(begins-s.MaxClockSkew, "core", "deep", 0, "us-1"), "clocks may be apart")
	require.Equal(t, begins-s.MaxClockSkew, s.NextChangeAt(begins-second))
	require.False(t, s.IsUnrestricted(now, "else", "deep"))
	none := standing(t, never, "generation: 1\ndefault: nowhere\ncontracts: []")
	require.False(t, none.may(now, "else", "deep", 0, "eu-1"))
}

// A lease that has ended, and a policy that is not known, refuse those under contract unless theirs says otherwise.
func TestLeaseEnds(t *testing.T) {
	s := standing(t, 100, head+"contracts:\n- {tenant: acme, zones: [eu-1]}\n- {tenant: bolt, zones: [eu-1], lease_ends: keep}")
	require.True(t, s.may(99, "acme", "deep", 0, "eu-1"))
	require.False(t, s.may(100, "acme", "deep", 0, "eu-1"))
	require.True(t, s.may(100, "bolt", "deep", 0, "eu-1"))
	require.True(t, s.may(100, "core", "deep", 0, "us-1"))
	require.Equal(t, int64(100), s.NextChangeAt(7))
	blind := standing(t, never, head+"beside: 2\ncontracts:\n- {tenant: acme, zones: [eu-1]}")
	require.True(t, blind.Incomplete)
	require.False(t, blind.may(1, "acme", "deep", 0, "eu-1"))
}

// Old and new side by side: the stricter of both holds for each tenant until a later generation stands beside nothing.
func TestSideBySide(t *testing.T) {
	old := "generation: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1, eu-2]}"
	next := "generation: 4\nbeside: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-2, us-1]}\n- {tenant: bolt, zones: [us-1]}"
	s := standing(t, never, old, next)
	require.True(t, s.may(1, "acme", "deep", 0, "eu-2"))
	require.False(t, s.may(1, "acme", "deep", 0, "eu-1"))
	require.False(t, s.may(1, "acme", "deep", 0, "us-1"))
	require.False(t, s.may(1, "bolt", "deep", 0, "eu-1"))
	s = standing(t, never, old, next, strings.Replace(strings.Replace(next, "4", "5", 1), "beside: 3\n", "", 1))
	require.True(t, s.may(1, "acme", "deep", 0, "us-1"))
	var b PolicyRegistry
	b.AddPolicy(parse(t, next))
	require.Equal(t, &MissingPolicyError{4, 3}, b.MissingPolicy())
	changed, err := b.AddPolicy(parse(t, old))
	require.NoError(t, err)
	require.True(t, changed)
	require.Nil(t, b.MissingPolicy())
	_, err = b.AddPolicy(parse(t, strings.Replace(old, "3", "2", 1)))
	require.True(t, advice.HasType[*StalePolicyError](err))
	changed, err = b.AddPolicy(parse(t, strings.Replace(next, "us-1", "eu-1", 1)))
	require.True(t, changed)
	require.True(t, advice.HasType[*ConflictingPoliciesError](err))
	require.False(t, b.Compile(never).may(1, "acme", "deep", 0, "us-1"))
}

// Generations never fall, and the same policies in any order, told once or often, leave the same in force.
func TestBookKeepsNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*Policy
		for g := 1; g <= 5; g++ {
			for n := rapid.IntRange(0, 2).Draw(t, "wordings"); n > 0; n-- {
				text := fmt.Sprintf("generation: %d\nbeside: %d\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [%s]}\n# %d", g,
					rapid.IntRange(0, g-1).Draw(t, "beside"), rapid.SampledFrom(site.Zones).Draw(t, "zone"), n)
				all = append(all, parse(t, text))
			}
		}
		if len(all) == 0 {
			return
		}
		tell := func(order []*Policy) *PolicyRegistry {
			b := &PolicyRegistry{}
			for _, p := range order {
				was := b.NewestGeneration()
				b.AddPolicy(p)
				require.GreaterOrEqual(t, b.NewestGeneration(), was)
			}
			for _, p := range order { // what was too early is told again
				b.AddPolicy(p)
			}
			return b
		}
		x := tell(all)
		y := tell(rapid.Permutation(append(slices.Clone(all), all[0])).Draw(t, "order"))
		require.Equal(t, x.Policies(), y.Policies())
		require.Equal(t, x.Compile(never), y.Compile(never))
		for _, zone := range site.Zones { // no wording of the newest widens another
			may := x.Compile(never).may(1, "acme", "deep", 0, zone)
			for _, p := range x.Policies() {
				one := PolicyRegistry{}
				one.AddPolicy(p)
				if s := one.Compile(never); !s.Incomplete {
					require.True(t, !may || s.may(1, "acme", "deep", 0, zone))
				}
			}
		}
	})
}

// A host is in a zone only where all that is known of it and its address agrees and has rested.
func TestHostsInNoZone(t *testing.T) {
	h := NewHostZones(100)
	one := func(now int64, hosts ...Host) { h.UpdateHosts(now, true, hosts) }
	one(10, Host{ID: "a", Addr: "1", Zone: "eu-1"}, Host{ID: "b", Addr: "2"}, Host{ID: "c", Addr: "3", Zone: "eu-1", ZoneConflict: true})
	require.Equal(t, "eu-1", h.Zone(10, "a"))
	require.Empty(t, h.Zone(10, "b"), "unknown")
	require.Empty(t, h.Zone(10, "c"), "sources differ")
	require.Empty(t, h.Zone(10, "d"))
	one(20, Host{ID: "a", Addr: "1", Zone: "us-1"}) // moves under a search
	require.Empty(t, h.Zone(20, "a"))
	require.Equal(t, int64(120), h.NextHoldDownEnd(20))
	require.Equal(t, "us-1", h.Zone(120, "a"))
	one(130, Host{ID: "a2", Addr: "1", Zone: "us-1"}) // renamed, and true to its word
	require.Equal(t, "us-1", h.Zone(130, "a2"))
	one(140, Host{ID: "a3", Addr: "1", Zone: "eu-1"}) // renamed and moved: its address remembers
	require.Empty(t, h.Zone(140, "a3"))
	one(150, Host{ID: "a2", Addr: "9", Zone: "eu-1"}) // away for a moment and back elsewhere
	require.Empty(t, h.Zone(150, "a2"))
	one(500, Host{ID: "z", Addr: "7", Zone: "eu-1"})
	one(601, Host{ID: "z", Addr: "7", Zone: "eu-1"})
	require.Len(t, h.ids, 1, "those that left are forgotten after the rest")
	require.Len(t, h.at, 1)
	h.UpdateHosts(700, false, []Host{{ID: "z", Removed: true}})
	h.UpdateHosts(710, false, []Host{{ID: "z", Addr: "7", Zone: "us-1"}})
	require.Empty(t, h.Zone(710, "z"), "it was there until 700")
}

// 10,000 contracts and two policies side by side: no allocation a look-up; the benchmark has its time.
func many(t testing.TB) *CompiledPolicy {
	var b strings.Builder
	b.WriteString("default: anywhere\ncontracts:\n")
	for i := range contractsMost {
		fmt.Fprintf(&b, "- {tenant: tenant-%d, zones: [eu-%d, eu-9]}\n", i, i%7)
	}
	p, err := ParsePolicy("many", []byte("generation: 1\n"+b.String()), Site{})
	require.NoError(t, err)
	var book PolicyRegistry
	book.AddPolicy(p)
	return book.Compile(never)
}

func TestLookUpAllocatesNothing(t *testing.T) {
	s, n, in := many(t), 0, 0
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i*17)
	}
	zone := s.ZoneIndex("eu-9")
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		r := s.RuleFor(5, names[n%len(names)], "deep", 3)
		if n++; r.Restricted && r.AllowsZone(zone) {
			in++
		}
	}))
	require.Positive(t, in)
}

func BenchmarkLookUp(b *testing.B) {
	s := many(b)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i*17)
	}
	zone := s.ZoneIndex("eu-9")
	in := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if r := s.RuleFor(5, names[i%len(names)], "deep", 3); r.AllowsZone(zone) {
			in++
		}
	}
}

// Drawn histories of up to five instances, and one of 300: late, doubled and lost words, partitions, clocks apart (one by an hour), ends and
// starts with and without a disk, while one is given a tightening. One lease after more than half have it, none runs a
// part outside; at the end, with all links back, all have it and serve again.
func TestTighteningIsInForceEverywhere(t *testing.T) {
	const span, slack, step = 3 * second, second / 2, second / 10
	old := parse(t, "generation: 1\nlease: 3s\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1, us-1]}")
	next := parse(t, "generation: 2\nlease: 3s\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1]}")
	in := map[uint64]*CompiledPolicy{}
	for g, p := range []*Policy{old, next} {
		var b PolicyRegistry
		b.AddPolicy(p)
		in[uint64(g+1)] = b.Compile(0)
	}
	renewed, refused, isolated := 0, 0, 0
	history := func(t require.TestingT, chance *rand.Rand, n int, calm, end int64) {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%03d", i))
		}
		type instance struct {
			lease *Lease
			book  *PolicyRegistry
			disk  *Policy
			off   int64
			asks  int64
			life  int
		}
		all := make([]*instance, n)
		given := false
		begin := func(i int, kept bool) {
			x := all[i]
			x.life++
			x.lease, x.book, x.asks = NewLease(names[i], names, kept), &PolicyRegistry{}, 0
			x.book.AddPolicy(old)
			if kept && x.disk != nil {
				x.book.AddPolicy(x.disk)
			}
			if i == 0 && given {
				x.book.AddPolicy(next) // its operator's file
			}
		}
		for i := range all {
			all[i] = &instance{off: chance.Int63n(slack/2) - slack/4}
			begin(i, true)
		}
		if n > 2 && chance.Intn(3) == 0 {
			all[n-1].off += 3600 * second
		}
		type letter struct {
			at int64
			do func()
		}
		var post []letter
		cut := make([]bool, n)
		side := make([]int, n)
		send := func(now int64, from, to int, do func()) {
			for copies := 1 + chance.Intn(2); copies > 0; copies-- {
				if side[from] == side[to] && !cut[to] && (now > calm || chance.Intn(8) > 0) {
					life := all[to].life
					late := chance.Int63n(2 * step)
					if now < calm && chance.Intn(10) == 0 {
						late = chance.Int63n(2 * span)
					}
					post = append(post, letter{now + late, func() {
						if all[to].life == life {
							do()
						}
					}})
				}
			}
		}
		learn := func(i int) { // on disk before it is told
			all[i].disk = next
			all[i].book.AddPolicy(next)
		}
		at, most := chance.Int63n(calm/2), int64(0)
		for now := int64(step); now <= end; now += step {
			if now > calm {
				clear(cut)
				clear(side)
			} else if chance.Intn(30) == 0 {
				for i := range side {
					side[i] = chance.Intn(3) / 2
					cut[i] = chance.Intn(6) == 0
				}
			}
			if now < calm && chance.Intn(60) == 0 {
				i := chance.Intn(n)
				begin(i, chance.Intn(3) > 0 || n == 1 || all[n-1].off > second)
			}
			if !given && now >= at {
				given = true
				learn(0)
			}
			due := post
			post = nil
			for _, l := range due {
				if l.at <= now {
					l.do()
				} else {
					post = append(post, l)
				}
			}
			have := 0
			for i, x := range all {
				local := now + x.off
				if x.lease.RenewSoleMember(local, span) {
					renewed++
				}
				if local >= x.asks {
					x.asks = local + RenewalInterval(span)
					nonce, gen := x.lease.BeginRound(local), x.book.NewestGeneration()
					for _, name := range x.lease.SelectPeers() {
						j, _ := slices.BinarySearch(names, name)
						send(now, i, j, func() {
							y := all[j]
							if gen == 2 && y.book.NewestGeneration() < 2 {
								learn(j)
							}
							v := LeaseAcknowledgement{names[j], nonce, y.book.NewestGeneration(), y.asks, y.lease.IsVoter()}
							v.WallTime = now + y.off // about when it was asked
							has := y.book.NewestGeneration() == 2
							send(now, j, i, func() {
								if has && x.book.NewestGeneration() < 2 && chance.Intn(2) == 0 {
									learn(i)
								}
								if x.lease.HandleAcknowledgement(now+x.off, v, x.book.NewestGeneration(), span, slack, true) {
									renewed++
								}
							})
						})
					}
				}
				if x.book.NewestGeneration() == 2 && x.lease.IsVoter() {
					have++
				}
			}
			if have > n/2 && most == 0 {
				most = now
			}
			for i, x := range all {
				s := in[x.book.NewestGeneration()].WithLeaseExpiry(x.lease.ExpiresAt())
				if most > 0 && now > most+span {
					require.False(t, s.may(now+x.off, "acme", "deep", 0, "us-1"), "instance %d at %d, most since %d", i, now, most)
				}
				if !s.may(now+x.off, "acme", "deep", 0, "eu-1") {
					refused++
				}
			}
		}
		for i, x := range all {
			require.Equal(t, uint64(2), x.book.NewestGeneration(), "instance %d", i)
			s := x.book.Compile(x.lease.ExpiresAt())
			if near := x.off < 1800*second; near {
				require.True(t, s.may(end+x.off, "acme", "deep", 0, "eu-1"), "instance %d of %d", i, n)
			} else {
				isolated++
				require.False(t, s.may(end+x.off, "acme", "deep", 0, "eu-1"), "an hour off")
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		history(t, chance, rapid.IntRange(1, 5).Draw(t, "instances"), 30*second, 60*second)
	})
	history(t, rand.New(rand.NewSource(1)), 300, 9*second, 21*second)
	require.Positive(t, renewed)
	require.Positive(t, refused)
	require.Positive(t, isolated)
}

// What a check tells of blocks that a tenant could not reach.
func TestReach(t *testing.T) {
	p := parse(t, head+"contracts:\n- {tenant: acme, zones: [eu-1]}\n- {block: 3, zones: [us-1], otherwise: part}\n- {tenant: bolt, zones: [us-1]}")
	got := p.FindUnreachableBlocks(4, func(zone string, block int) bool { return zone == "us-1" && block != 3 || zone == "eu-1" && block == 1 })
	require.Len(t, got, 3)
	require.Equal(t, "file: [4:12] tenant acme could not reach blocks 0, 2-3: its searches there are refused", got[0].Error())
	require.Equal(t, "file: [5:11] block 3 could not reach block 3: its searches there lack them, or are refused", got[1].Error())
	var u *UnreachableBlocksError
	require.True(t, errors.As(fmt.Errorf("x: %w", got[2]), &u))
}

// A lease counts from the question, not from the answer: an answer that was long on its way says nothing of the time
// since. One that has forgotten has no voice, but where all that are listed answer.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	const span = 10 * second
	l := NewLease("a", []string{"a", "b", "c"}, true)
	nonce := l.BeginRound(second)
	require.True(t, l.HandleAcknowledgement(9*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, WallTime: 9 * second, Voter: true}, 1, span, second, true))
	require.Equal(t, 11*second, int(l.ExpiresAt()))
	require.Equal(t, uint64(1), l.MajorityGeneration())
	l = NewLease("a", []string{"a", "b", "c"}, false)
	nonce = l.BeginRound(second)
	require.False(t, l.HandleAcknowledgement(2*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, WallTime: 2 * second, Voter: true}, 1, span, second, true))
	require.False(t, l.HandleAcknowledgement(2*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, WallTime: 2 * second, Voter: true}, 1, span, second, true), "doubled")
	require.False(t, l.HandleAcknowledgement(2*second, LeaseAcknowledgement{From: "x", Nonce: nonce, Generation: 1, WallTime: 2 * second, Voter: true}, 1, span, second, true), "not listed")
	require.True(t, l.HandleAcknowledgement(2*second, LeaseAcknowledgement{From: "c", Nonce: nonce, Generation: 1, WallTime: 2 * second}, 1, span, second, true), "all have answered")
	require.False(t, l.HandleAcknowledgement(3*second, LeaseAcknowledgement{From: "b", Nonce: l.BeginRound(3 * second), Generation: 2, WallTime: 3 * second, Voter: true}, 1, span, second, true))
	require.Equal(t, uint64(2), l.HighestSeenGeneration())
}

func TestNothingKnownRunsNowhere(t *testing.T) {
	require.False(t, DenyAll().may(1, "acme", "deep", 0, "eu-1"))
	require.False(t, DenyAll().IsUnrestricted(1, "acme", "deep"))
}
