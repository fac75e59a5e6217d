package crdt

import (
	"cmp"
	"strconv"
	"strings"
)

// Dot identifies one change: number Counter of an actor. An actor is one incarnation of one instance, so an instance that
// restarts with an older disk is another actor and never issues a dot twice.
type Dot struct {
	_       struct{} `cbor:",toarray"`
	Actor   string   // instance name, '#', incarnation
	Counter uint64   // starts at 1
}

func (d Dot) compare(other Dot) int {
	if c := cmp.Compare(d.Actor, other.Actor); c != 0 {
		return c
	}
	return cmp.Compare(d.Counter, other.Counter)
}

// incarnationSeparator separates the instance's name from the incarnation in an actor. A name may contain the same
// character, so only the last one in an actor separates.
const incarnationSeparator = '#'

// FormatActor returns the actor of one incarnation of an instance.
func FormatActor(name string, incarnation uint64) string {
	return name + string(incarnationSeparator) + strconv.FormatUint(incarnation, 10)
}

// ActorInstance returns the name of an actor's instance.
func ActorInstance(actor string) string {
	return actor[:max(0, strings.LastIndexByte(actor, incarnationSeparator))]
}

// ActorIncarnation returns the incarnation of an actor, 0 if it has none. A later incarnation has a greater number.
func ActorIncarnation(actor string) uint64 {
	incarnation, err := strconv.ParseUint(actor[strings.LastIndexByte(actor, incarnationSeparator)+1:], 10, 64)
	if err != nil {
		return 0
	}
	return incarnation
}

func isValidActor(actor string) bool {
	return ActorInstance(actor) != "" && len(actor) <= MaxActorBytes && ActorIncarnation(actor) > 0
}

// endMark returns the actor of an instance's end mark, which Version describes.
func endMark(name string) string { return name + string(incarnationSeparator) }

func isEndMark(actor string) bool { return strings.HasSuffix(actor, string(incarnationSeparator)) }
