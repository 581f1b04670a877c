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
	// retryAfterStaleConfig applies at an entry VM whose state is too old to check keys; another one may reach
	// the store.
	retryAfterStaleConfig = 200 * time.Millisecond
	// maxLoggedWorkspaces is how many workspaces a log line on changed keys names.
	maxLoggedWorkspaces = 32
)

// keysFresh reports whether the state is recent enough to check API keys: until a watch before MaxRevocation. The
// watch is subtracted because one that ended early makes the state look younger by up to its length.
//
// Without the bound an entry VM that is partitioned from the store and from all store readers would accept a revoked
// key for as long as the partition lasts.
func (g *Gate) keysFresh(s *state) bool {
	bound := g.config.Settings.MaxRevocation
	return bound <= 0 || g.age(s) <= max(0, bound-g.watchDuration())
}

// authenticate removes the API key from a request and looks up its workspace. A status other than 0 is the response
// to a request that is refused. The workspace header that a client sent never reaches a target.
func (g *Gate) authenticate(x *exchange, s *state) (status int, reason string) {
	if !s.table.Config.Keyed {
		return 0, ""
	}
	credentials := x.header["Authorization"]
	x.stripCredentials(g.config.Headers.Workspace)
	if x.route.Public {
		return 0, ""
	}
	if !g.keysFresh(s) {
		// The response is not 401, as a key that is unknown here may have been added since.
		return http.StatusServiceUnavailable, reasonStale
	}
	key, err := pakey.Parse(credentials)
	switch {
	case errors.Is(err, pakey.ErrMissing):
		return http.StatusUnauthorized, reasonNoCredential
	case err != nil:
		return http.StatusUnauthorized, reasonMalformedKey
	}
	if x.workspace = s.table.WorkspaceByKey(key); x.workspace == nil {
		return http.StatusUnauthorized, reasonUnknownKey
	}
	x.header.Set(g.config.Headers.Workspace, x.workspace.Name)
	return 0, ""
}

// refuseAuthentication responds to a request that authenticate refused.
func (g *Gate) refuseAuthentication(w http.ResponseWriter, x *exchange, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		g.refuse(w, x, reason, retryAfterStaleConfig)
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	g.writeError(w, x, status, reason)
}

// stripCredentials removes the Authorization header and the workspace header, in every spelling that a target could
// take for these names: servers may treat underscores as hyphens.
func (x *exchange) stripCredentials(workspace string) {
	for name := range x.header {
		plain := strings.ReplaceAll(name, "_", "-")
		if strings.EqualFold(plain, "Authorization") || strings.EqualFold(plain, workspace) {
			delete(x.header, name)
		}
	}
}

// workspaceName returns the name of the request's workspace, or "".
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// allowedRegions returns the regions that the request's workspace is restricted to; nil means all.
func (x *exchange) allowedRegions() []string {
	if x.workspace == nil {
		return nil
	}
	return x.workspace.AllowedRegions
}

// logKeyChanges logs which workspaces' keys differ between two versions of the configuration.
func (g *Gate) logKeyChanges(old, next *paroute.Table) {
	if old == nil {
		return
	}
	e := paevent.KeysChanged{Version: next.Config.Version}
	changed := map[string]bool{}
	countMissing := func(of, in *paroute.Table) (n int) {
		for _, w := range of.Config.Workspaces {
			other := in.Workspace(w.Name)
			for _, k := range w.Keys {
				if other == nil || !slices.Contains(other.Keys, k) {
					changed[w.Name] = true
					n++
				}
			}
		}
		return n
	}
	e.Added, e.Removed = countMissing(next, old), countMissing(old, next)
	if len(changed) == 0 {
		return
	}
	for name := range changed {
		e.Workspaces = append(e.Workspaces, name)
	}
	slices.Sort(e.Workspaces)
	e.Workspaces = e.Workspaces[:min(len(e.Workspaces), maxLoggedWorkspaces)]
	g.record(e)
}

// logStaleness logs when requests with a key begin to be refused because the state is too old, and when that ends.
// The control loop calls it at each tick.
func (g *Gate) logStaleness(s *state) {
	if s.table == nil || !s.table.Config.Keyed {
		return
	}
	switch fresh := g.keysFresh(s); {
	case !fresh && g.logged.staleSince == 0:
		g.logged.staleSince = g.uptime()
		g.record(paevent.ConfigurationStale{AgeMilliseconds: g.age(s).Milliseconds()})
	case fresh && g.logged.staleSince != 0:
		g.record(paevent.ConfigurationFresh{StaleMilliseconds: (g.uptime() - g.logged.staleSince).Milliseconds()})
		g.logged.staleSince = 0
	}
}
