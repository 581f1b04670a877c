package pagate

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"papayahead/paevent"
	"papayahead/pakey"
	"papayahead/paroute"
)

const (
	// comeBackStale is when a caller should try again, at another entry VM: one of them may be in touch.
	comeBackStale = 200 * time.Millisecond
	// keysNamed is how many workspaces a line on changed keys names.
	keysNamed = 32
)

// fresh says whether what is known may decide on keys: until a watch before a key that was taken away must be out of force
// everywhere. A watch that ended early makes what is known look younger by as much as it waits.
//
// Failure prevented: an entry VM is cut off from the store and from all that read it, and serves a key that an operator
// took away for as long as the cut lasts.
func (g *Gate) fresh(s *state) bool {
	bound := g.config.Settings.MaxRevocation
	return bound <= 0 || g.age(s) <= max(0, bound-g.watchTime())
}

// admitKey takes the credential off a request and finds whose it is; a status is the answer to one that is refused.
// Nothing that the caller says of its workspace reaches a target.
func (g *Gate) admitKey(x *exchange, s *state) (status int, reason string) {
	if !s.table.Config.Keyed {
		return 0, ""
	}
	fields := x.header["Authorization"]
	x.strip(g.config.Headers.Workspace)
	if x.route.Public {
		return 0, ""
	}
	if !g.fresh(s) {
		// A key that is unknown here may have been added since.
		return http.StatusServiceUnavailable, reasonStale
	}
	key, err := pakey.Parse(fields)
	switch {
	case errors.Is(err, pakey.ErrMissing):
		return http.StatusUnauthorized, reasonNoKey
	case err != nil:
		return http.StatusUnauthorized, reasonBadKey
	}
	if x.workspace = s.table.WorkspaceByKey(key); x.workspace == nil {
		return http.StatusUnauthorized, reasonKey
	}
	x.header.Set(g.config.Headers.Workspace, x.workspace.Name)
	return 0, ""
}

// refuseKey answers a request that admitKey refused.
func (g *Gate) refuseKey(w http.ResponseWriter, x *exchange, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		g.refuse(w, x, reason, comeBackStale)
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	g.answerOwn(w, x, status, reason)
}

// strip removes the credential, and what the caller says of its workspace in any spelling that a target could take
// for the header's name.
func (x *exchange) strip(workspace string) {
	for name := range x.header {
		plain := strings.ReplaceAll(name, "_", "-")
		if strings.EqualFold(plain, "Authorization") || strings.EqualFold(plain, workspace) {
			delete(x.header, name)
		}
	}
}

// workspaceName returns the name of the request's workspace, or nothing.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// regions returns the only regions that the request's workspace allows.
func (x *exchange) regions() []string {
	if x.workspace == nil {
		return nil
	}
	return x.workspace.AllowedRegions
}

// noteKeys logs which workspaces' keys a new version changed.
func (g *Gate) noteKeys(old, next *paroute.Table) {
	if old == nil {
		return
	}
	e := paevent.KeysChanged{Version: next.Config.Version}
	names := map[string]bool{}
	count := func(of, in *paroute.Table) (n int) {
		for _, w := range of.Config.Workspaces {
			other := in.Workspace(w.Name)
			for _, k := range w.Keys {
				if other == nil || !slices.Contains(other.Keys, k) {
					names[w.Name] = true
					n++
				}
			}
		}
		return n
	}
	e.Added, e.Removed = count(next, old), count(old, next)
	if len(names) == 0 {
		return
	}
	for name := range names {
		e.Workspaces = append(e.Workspaces, name)
	}
	slices.Sort(e.Workspaces)
	e.Workspaces = e.Workspaces[:min(len(e.Workspaces), keysNamed)]
	g.record(e)
}

// noteFreshness logs when requests with a key begin to be refused for the age of what is known, and when that ends.
// Only the control loop calls it, at each tick and change.
func (g *Gate) noteFreshness(s *state) {
	if s.table == nil || !s.table.Config.Keyed {
		return
	}
	switch fresh := g.fresh(s); {
	case !fresh && g.noted.staleAt == 0:
		g.noted.staleAt = g.uptime()
		g.record(paevent.ConfigurationStale{AgeMilliseconds: g.age(s).Milliseconds()})
	case fresh && g.noted.staleAt != 0:
		g.record(paevent.ConfigurationFresh{StaleMilliseconds: (g.uptime() - g.noted.staleAt).Milliseconds()})
		g.noted.staleAt = 0
	}
}
