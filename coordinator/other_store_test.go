package coordinator

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/storage/store"
)

// A store that another deployment's co-ordinator has written is not believed: no search goes to that one's hosts.
func TestStoreOfAnotherDeployment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	one := start(t, 256, nil)
	r := one.keeping(path, store.Options{})
	r.logged("event=store ")
	r.list.Responses <- `{"version":9,"full":false,"servers":[` + strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"draining"`) + `]}`
	r.logged("version=9")
	r.asks("a0", 3)
	r.end()
	two := start(t, 256, func(settings map[string]any) { placed(settings, "Tenants", 1)["Name"] = "globex" })
	r = two.keeping(path, store.Options{})
	r.logged("event=store ")
	before := one.parts()
	r.asks("a0", 8)
	require.Equal(t, before, one.parts(), "parts at the other deployment's hosts")
	r.end()
	require.Contains(t, r.log.String(), `what="list and notes"`)
	r = two.keeping(path, store.Options{}) // and is its own from then on
	r.logged("believes=all listed=0 notes=4")
	r.end()
}
