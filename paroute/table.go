package paroute

import (
	"sort"
	"strings"

	"papayahead/pakey"
)

// Table finds routes. It is immutable; make a new one for each Config.
type Table struct {
	Config *Config
	hosts  map[string][]*Route
	// keys has the workspaces by their keys, as their index in the configuration.
	keys *pakey.Keyring
	// workspaces has them by their names.
	workspaces map[string]*Workspace
	limited    bool
}

// NewTable returns the Table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, all := range t.hosts {
		sort.Slice(all, func(i, j int) bool { return len(all[i].Prefix) > len(all[j].Prefix) })
	}
	t.keys = pakey.NewKeyring()
	t.workspaces = map[string]*Workspace{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		t.workspaces[w.Name] = w
		t.limited = t.limited || w.HasRateLimit()
		for _, k := range w.Keys {
			t.keys.Add(k, i)
		}
	}
	return t
}

// HasRateLimit says that a workspace has a rate limit.
func (t *Table) HasRateLimit() bool { return t.limited }

// Workspace returns the workspace of a name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// WorkspaceByKey returns the workspace that holds the key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	i, ok := t.keys.Lookup(key)
	if !ok {
		return nil
	}
	return &t.Config.Workspaces[i]
}

// Match returns the route with the longest prefix of the path, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
