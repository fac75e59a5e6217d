package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// planOf is a plan's text with settings that edit has changed.
func planOf(t *testing.T, edit func(settings map[string]any)) []byte {
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	edit(settings)
	text, err := json.Marshal(settings)
	require.NoError(t, err)
	return fmt.Appendf(nil, `{"name":"n","listen":"l","discovery":"d","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":1,"servers":[]},"settings":%s}`, text)
}

func placed(settings map[string]any, list string, i int) map[string]any {
	return settings[list].([]any)[i].(map[string]any)
}

// Requests name class and tenant as the settings have them, blanks, commas and letters of all languages too, and each is
// handled by its own.
func TestNamesAsInTheSettings(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) {
		placed(settings, "Classes", 1)["Name"] = "all, größer"
		placed(settings, "Tenants", 0)["Name"] = "acme north"
		placed(settings, "Tenants", 1)["Name"] = "acme, south"
	})
	c := r.call()
	post := func(id, path, class, tenant string) {
		text := fmt.Sprintf("POST /%s?k=1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: 8\r\nContent-Length: ",
			path, id, class, tenant)
		body := `{"ranges":[{"range":0,"portion":0.5},{"range":1,"portion":0.5}],"predicate":"p"}`
		c.send(text + fmt.Sprint(len(body)) + "\r\n\r\n" + body)
		status, _, _, _ := c.answer()
		require.Equal(t, 200, status, "%s %s\n%s", class, tenant, r.log)
	}
	post("a", "some", "some", "acme north")
	post("b", "some", "some", "acme, south")
	post("c", "all,%20gr%C3%B6%C3%9Fer", "all, größer", "acme north")
	post("d", "some", "some", "acme_north") // the wire's form of it
	r.end()
}

// Names under which a customer would get another's settings end the start, and so do lists that are no lists of objects:
// what they mean would be missing without a word.
func TestNamesThatAreNotClear(t *testing.T) {
	for _, x := range []struct {
		wrong string
		edit  func(settings map[string]any)
	}{
		{`setting Classes.2.Name: "some" is Classes.0.Name too`, func(s map[string]any) { placed(s, "Classes", 2)["Name"] = "some" }},
		{`setting Tenants.1.Name: "acme" is Tenants.0.Name too`, func(s map[string]any) { placed(s, "Tenants", 1)["Name"] = "acme" }},
		{`setting Tenants.1.Name: "a b" cannot be told from "a_b" in Tenants.0.Name`, func(s map[string]any) {
			placed(s, "Tenants", 0)["Name"], placed(s, "Tenants", 1)["Name"] = "a_b", "a b"
		}},
		{`setting FailureDomains.2: "z,1" cannot be told from "z 1" in FailureDomains.1`, func(s map[string]any) {
			s["FailureDomains"] = []any{"z one", "z 1", "z,1"}
		}},
		{"setting Tenants.1.Name is missing", func(s map[string]any) { delete(placed(s, "Tenants", 1), "Name") }},
		{"setting Tenants.0.Name is missing", func(s map[string]any) { placed(s, "Tenants", 0)["Name"] = "" }},
		{"setting Tenants.0.Name is missing", func(s map[string]any) { placed(s, "Tenants", 0)["Name"] = nil }},
		{"setting Classes.1.Name is missing", func(s map[string]any) { placed(s, "Classes", 1)["Name"] = nil }},
		{"setting Tenants is no list of objects", func(s map[string]any) { s["Tenants"] = []any{"acme", "other"} }},
		{"setting Tenants is no list of objects", func(s map[string]any) { s["Tenants"] = []any{s["Tenants"].([]any)[0], "other"} }},
		{"setting Tenants is no list of objects", func(s map[string]any) { s["Tenants"] = map[string]any{"acme": map[string]any{"QuotaPerS": 5}} }},
		{"setting Classes is no list of objects", func(s map[string]any) { s["Classes"] = "some" }},
	} {
		_, err := Parse(planOf(t, x.edit))
		require.ErrorContains(t, err, x.wrong)
	}
	for _, edit := range []func(s map[string]any){
		func(s map[string]any) { delete(s, "Tenants") }, // some sites have none
		func(s map[string]any) { s["Tenants"] = []any{} },
		func(s map[string]any) { s["Tenants"] = nil },
		func(s map[string]any) { s["FailureDomains"] = []any{"z one", "z one"} }, // one zone
		func(s map[string]any) { placed(s, "Tenants", 0)["Name"] = "some" },      // as a class
		func(s map[string]any) { placed(s, "Tenants", 0)["Name"] = 7 },
	} {
		_, err := Parse(planOf(t, edit))
		require.NoError(t, err)
	}
}
