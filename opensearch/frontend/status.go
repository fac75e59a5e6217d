package frontend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

func (f *Server) root() reply {
	return jsonReply(map[string]any{
		"name": f.api.CoordinatorName, "cluster_name": "chalkring", "tagline": tagline,
		"version": map[string]any{"distribution": "chalkring", "number": "2.0.0", "minimum_wire_compatibility_version": "2.0.0"},
	})
}

// health reports green if each block of each index has at least two hosts, yellow if one has a single host, and red if one
// has none.
func (f *Server) health() reply {
	status, active, unassigned := "green", 0, 0
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			switch names, _ := f.api.BlockHosts(b); len(names) {
			case 0:
				status, unassigned = "red", unassigned+1
			case 1:
				if active++; status == "green" {
					status = "yellow"
				}
			default:
				active++
			}
		}
	}
	return jsonReply(map[string]any{
		"cluster_name": "chalkring", "status": status, "timed_out": false,
		"number_of_nodes": f.api.HostCount(), "number_of_data_nodes": f.api.HostCount(), "active_primary_shards": active,
		"active_shards": active, "relocating_shards": 0, "initializing_shards": 0, "unassigned_shards": unassigned,
	})
}

// catReply answers a _cat request with lines of text, or with JSON for format=json.
func catReply(r *http.Request, names []string, rows [][]string) reply {
	if r.URL.Query().Get("format") == "json" {
		all := []map[string]string{}
		for _, row := range rows {
			m := map[string]string{}
			for i, name := range names {
				m[name] = row[i]
			}
			all = append(all, m)
		}
		return jsonReply(all)
	}
	var b strings.Builder
	if r.URL.Query().Has("v") {
		fmt.Fprintln(&b, strings.Join(names, " "))
	}
	for _, row := range rows {
		fmt.Fprintln(&b, strings.Join(row, " "))
	}
	return reply{status: 200, body: []byte(b.String()), plainText: true}
}

func (f *Server) catShards(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			names, addrs := f.api.BlockHosts(b)
			if len(names) == 0 {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), "p", "UNASSIGNED", "-", "-"})
			}
			for i, name := range names {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), map[bool]string{true: "p", false: "r"}[i == 0], "STARTED", addrs[i], name})
			}
		}
	}
	return catReply(r, []string{"index", "shard", "prirep", "state", "ip", "node"}, rows)
}

func (f *Server) catIndices(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		rows = append(rows, []string{x.Name, "open", strconv.Itoa(len(x.Blocks)), x.SearchType})
	}
	return catReply(r, []string{"index", "status", "pri", "type"}, rows)
}
