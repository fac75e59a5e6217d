package gossip

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// An error type without advice, or without a row in the on-call page, would leave operators without help.
func TestErrorTypesGiveAdviceAndAreInTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	errorTypes := []advice.Provider{
		&AddressInUseError{}, &InvalidAddressError{}, &InvalidKeyFileError{}, &KeyMismatchError{}, &IsolatedError{},
		&NameConflictError{}, &InvalidMemberError{}, &MetadataTooLargeError{}, &MessageTooLargeError{}, &PeerUnavailableError{},
	}
	for _, e := range errorTypes {
		name := reflect.TypeOf(e).Elem().Name()
		require.Contains(t, string(page), "| `"+name+"` |")
		require.Greater(t, len(e.Advice()), 20, name)
	}
	code, err := os.ReadFile("errors.go")
	require.NoError(t, err)
	require.Equal(t, len(errorTypes), strings.Count(string(code), ") Advice() string"), "an error type of errors.go is missing in errorTypes")
}

// A log event must be described in the on-call page, under the same name.
func TestLogEventsAreInTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, event := range []string{
		eventMember, eventMajority, eventNameConflict, eventNameConflictResolved, eventIsolated, eventKeyMismatch,
		eventForeignInstance, eventMemberlist,
	} {
		require.Contains(t, string(page), "`"+event+" ")
	}
}
