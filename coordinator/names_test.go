package coordinator

import (
	"encoding/json"
	"fmt"
	"strings"
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
func TestRequestNamesAsInSettings(t *testing.T) {
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
func TestAmbiguousNames(t *testing.T) {
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
		_, err := parsePlan(planOf(t, x.edit))
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
		_, err := parsePlan(planOf(t, edit))
		require.NoError(t, err)
	}
}

// Numbers with which a start would go well and searches, or the process, would fail: half a set is none, and no part can be
// sent in no tries, on connections that may take no time to come up or are idle at once.
func TestInvalidNumbers(t *testing.T) {
	plan := string(planOf(t, func(map[string]any) {}))
	for _, x := range [][3]string{
		{`"Sets":2`, `"Sets":0.5`, "Specifics.Sets: 0.5 is no whole number"},
		{`"Reach":1`, `"Reach":1.5`, "Specifics.Reach: 1.5 is no whole number"},
		{`"Ranges":4`, `"Ranges":1e12`, "Specifics.Ranges: 1e12 is no whole number"},
		{`"PerCall":2`, `"PerCall":0.5`, "Specifics.PerCall: 0.5 is no whole number"},
		{`"FollowUp":[0,0,2]`, `"FollowUp":[0,0.5,2]`, "Specifics.FollowUp: place 1: 0.5 is no whole number"},
		{`"MaxAttempts":3`, `"MaxAttempts":0`, "Permissions.MaxAttempts: 0 is not above 0"},
		{`"MaxAttempts":3`, `"MaxAttempts":true`, `Permissions.MaxAttempts: "true" is no number`},
		{`"StreamsPerConn":8`, `"StreamsPerConn":0.5`, "Permissions.StreamsPerConn: 0.5 is no whole number"},
		{`"ConnIdle":60000`, `"ConnIdle":0`, "Permissions.ConnIdle: 0 is not above 0"},
		{`"DialTimeout":2000`, `"DialTimeout":0`, "Permissions.DialTimeout: 0 is not above 0"},
		{`"Balancers":1`, `"Balancers":0`, "Balancers: 0 is not above 0"},
		{`"Aim":4000`, `"Aim":false`, `Classes.0.Aim: "false" is no number`},
		{`"SecondCopies":true`, `"SecondCopies":2`, "Permissions.SecondCopies"},
		{`"Effect":"retryable"`, `"Effect":"Dedup"`, `Classes.0.Effect: "Dedup" is none of`},
	} {
		require.Contains(t, plan, x[0])
		_, err := parsePlan([]byte(strings.Replace(plan, x[0], x[1], 1)))
		require.ErrorContains(t, err, x[2])
	}
}
