package config

import (
	"slices"
	"strconv"
	"strings"
)

func (v *validator) checkUpstreams() {
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, u := range v.doc.Upstreams {
		v.checkName(fieldPath(SectionUpstreams, i, "id"), string(u.ID), seen)
		v.checkAddress(fieldPath(SectionUpstreams, i, "address"), u.Address, addresses)
		if !validName(string(u.Domain)) {
			v.fail(fieldPath(SectionUpstreams, i, "domain"), ReasonMissing, "must name a failure domain")
		}
		v.checkRange(fieldPath(SectionUpstreams, i, "batch"), int64(u.Batch), 1, maxBatch)
		v.checkUpstreamKind(i, u)
		v.checkPool(i, u)
	}
}

// checkUpstreamKind checks the fields that only one kind of upstream has.
func (v *validator) checkUpstreamKind(i int, u Upstream) {
	switch u.Kind {
	case UpstreamEngine:
		if !v.models[u.Base] {
			v.fail(fieldPath(SectionUpstreams, i, "base"), ReasonReference, "no base model "+strconv.Quote(string(u.Base)))
		}
		v.checkRange(fieldPath(SectionUpstreams, i, "slots"), int64(u.Slots), 1, maxSlots)
	case UpstreamService:
		if u.Base != "" {
			v.fail(fieldPath(SectionUpstreams, i, "base"), ReasonConflict, "a service has no base model")
		}
		if u.Slots != 0 {
			v.fail(fieldPath(SectionUpstreams, i, "slots"), ReasonConflict, "a service has no adapter slots")
		}
	default:
		v.fail(fieldPath(SectionUpstreams, i, "kind"), ReasonForm, strconv.Quote(string(u.Kind))+" must be engine or service")
	}
}

// checkPool checks that a pool has only one kind of upstream.
func (v *validator) checkPool(i int, u Upstream) {
	path := fieldPath(SectionUpstreams, i, "pool")
	if !validName(u.Pool) {
		v.fail(path, ReasonMissing, "must name a pool")
		return
	}
	kind, known := v.pools[u.Pool]
	if known && kind != u.Kind {
		v.fail(path, ReasonConflict, "pool "+strconv.Quote(u.Pool)+" holds upstreams of kind "+string(kind))
		return
	}
	v.pools[u.Pool] = u.Kind
}

// checkAddress checks that an upstream's address is a unique ip:port.
func (v *validator) checkAddress(path, address string, seen map[string]bool) {
	switch {
	case address == "":
		v.fail(path, ReasonMissing, "must be set")
	case !validAddress(address):
		v.fail(path, ReasonForm, strconv.Quote(address)+" must be an IP address and a port, such as 10.0.0.7:8000")
	case seen[address]:
		v.fail(path, ReasonDuplicate, "another upstream has this address")
	}
	seen[address] = true
}

// validAddress accepts IPv4:port and [IPv6]:port.
func validAddress(s string) bool {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return false
	}
	port, err := strconv.ParseUint(s[i+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	ip := s[:i]
	if strings.HasPrefix(ip, "[") {
		inner, ok := strings.CutSuffix(ip[1:], "]")
		return ok && strings.Contains(inner, ":") && strings.Trim(inner, "0123456789abcdefABCDEF:.") == ""
	}
	quads := strings.Split(ip, ".")
	if len(quads) != 4 {
		return false
	}
	return !slices.ContainsFunc(quads, func(q string) bool {
		n, err := strconv.ParseUint(q, 10, 8)
		return err != nil || strconv.FormatUint(n, 10) != q
	})
}

func (v *validator) checkRoutes() {
	seen := map[string]bool{}
	for i, r := range v.doc.Routes {
		v.checkPath(fieldPath(SectionRoutes, i, "path"), r.Path, seen)
		v.checkRouteKind(i, r)
		if _, ok := ParseClass(r.Class); !ok {
			v.fail(fieldPath(SectionRoutes, i, "class"), ReasonForm, strconv.Quote(r.Class)+" must be interactive, normal or overnight")
		}
		v.checkRange(fieldPath(SectionRoutes, i, "cost"), r.Cost, 0, maxTokens)
		v.checkWorkspaces(fieldPath(SectionRoutes, i, "workspaces"), r.Workspaces)
		v.checkCharging(i, r)
	}
}

func (v *validator) checkPath(path, p string, seen map[string]bool) {
	reserved := slices.ContainsFunc(reservedPaths, func(x string) bool {
		return p == x || strings.HasPrefix(p, x+"/")
	})
	switch {
	case !strings.HasPrefix(p, "/") || len(p) > maxNameBytes || strings.ContainsAny(p, "?#% \t\r\n"):
		v.fail(path, ReasonForm, strconv.Quote(p)+" must start with / and contain no query, escape or space")
	case reserved:
		v.fail(path, ReasonConflict, p+" is reserved: hosts answer it themselves")
	case seen[p]:
		v.fail(path, ReasonDuplicate, p+" is listed twice")
	}
	seen[p] = true
}

func (v *validator) checkRouteKind(i int, r Route) {
	want := UpstreamEngine
	switch r.Kind {
	case RouteCompletions, RouteChat:
		if r.Cost != 0 {
			v.fail(fieldPath(SectionRoutes, i, "cost"), ReasonConflict, "only a service route has a cost; others are charged by tokens")
		}
	case RouteService:
		want = UpstreamService
	default:
		v.fail(fieldPath(SectionRoutes, i, "kind"), ReasonForm, strconv.Quote(string(r.Kind))+" must be completions, chat or service")
	}
	path := fieldPath(SectionRoutes, i, "pool")
	if r.Pool == "" {
		v.fail(path, ReasonMissing, "must name a pool")
		return
	}
	if kind, known := v.pools[r.Pool]; known && kind != want {
		v.fail(path, ReasonConflict, "pool "+strconv.Quote(r.Pool)+" holds upstreams of kind "+string(kind))
	}
}

// checkCharging checks which workspace a route is charged to and which may use it.
func (v *validator) checkCharging(i int, r Route) {
	path := fieldPath(SectionRoutes, i, "charged")
	switch {
	case r.Open && r.Charged == "":
		v.fail(path, ReasonMissing, "an open route must name the workspace whose limit it spends")
	case r.Open && !v.workspaces[r.Charged]:
		v.fail(path, ReasonReference, "no workspace "+strconv.Quote(string(r.Charged)))
	case !r.Open && r.Charged != "":
		v.fail(path, ReasonConflict, "only an open route names a workspace to charge; other routes charge that of the key")
	}
	if r.Open && len(r.Workspaces) > 0 {
		v.fail(fieldPath(SectionRoutes, i, "workspaces"), ReasonConflict, "an open route can't be restricted to workspaces")
	}
}
