package paroute

import (
	"sort"
	"strings"

	"papayahead/pakey"
)

// Table finds the routes and workspaces of a configuration. It is immutable: build a new one for each Config.
type Table struct {
	Config *Config
	routes map[string][]*Route
	// keys maps the key of a workspace to the workspace's index in the configuration.
	keys *pakey.Keyring
	// workspaces holds the workspaces by name.
	workspaces   map[string]*Workspace
	hasRateLimit bool
}

// NewTable returns the Table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, routes: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.routes[h] = append(t.routes[h], r)
	}
	for _, all := range t.routes {
		sort.Slice(all, func(i, j int) bool { return len(all[i].Prefix) > len(all[j].Prefix) })
	}
	t.keys = pakey.NewKeyring()
	t.workspaces = map[string]*Workspace{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		t.workspaces[w.Name] = w
		t.hasRateLimit = t.hasRateLimit || w.HasRateLimit()
		for _, k := range w.Keys {
			t.keys.Add(k, i)
		}
	}
	return t
}

// HasRateLimit reports whether any workspace has a rate limit.
func (t *Table) HasRateLimit() bool { return t.hasRateLimit }

// Workspace returns the workspace with a name, or nil if there is none.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// WorkspaceByKey returns the workspace that a key belongs to, or nil if there is none.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	i, ok := t.keys.Lookup(key)
	if !ok {
		return nil
	}
	return &t.Config.Workspaces[i]
}

// HostUses reports whether a route of the host sends requests to a service for which used returns true. The host may include
// a port.
func (t *Table) HostUses(host string, used func(service string) bool) bool {
	for _, r := range t.routes[normalHost(host)] {
		for _, p := range r.Parts {
			if p.Weight > 0 && used(p.Service) {
				return true
			}
		}
	}
	return false
}

// Match returns the route of a host with the longest prefix of the path, or nil if there is none. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost returns a host in lower case and without a port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
