package replication

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
)

func TestEachErrorHasAdviceAndIsOnTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	cause := errors.New("cause")
	for _, documented := range []advice.Provider{
		&NotPersistedError{cause}, &UnreadableStateError{"k", cause}, &ExchangeInterruptedError{"b", cause},
		&InvalidMessageError{"b", cause}, &LongAbsenceError{"b", nil},
		&crdt.TooLargeError{}, &crdt.CapacityExceededError{}, &crdt.SupersededError{}, &crdt.InvalidDataError{}, &crdt.TooManySiblingsError{},
	} {
		typeName := strings.SplitN(fmt.Sprintf("%T", documented), ".", 2)[1]
		t.Run(typeName, func(t *testing.T) {
			require.NotEmpty(t, documented.Advice())
			require.NotEmpty(t, documented.Error())
			require.Contains(t, string(page), "`"+typeName+"`")
		})
	}
}

func TestEachLogEventIsOnTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, event := range []string{
		eventJob, eventStore, eventMessage, eventExchange, eventUpdate, eventRefused, eventSuperseded, eventAbsence, eventTombstones,
	} {
		require.Contains(t, string(page), "`"+event, event)
	}
}
