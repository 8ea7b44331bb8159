package config

import (
	"slices"
	"strconv"
	"strings"
)

func (v *validator) upstreams() {
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, u := range v.doc.Upstreams {
		v.name(at(SectionUpstreams, i, "id"), string(u.ID), seen)
		v.address(at(SectionUpstreams, i, "address"), u.Address, addresses)
		if !goodName(string(u.Domain)) {
			v.fail(at(SectionUpstreams, i, "domain"), ReasonMissing, "must name a failure domain")
		}
		v.within(at(SectionUpstreams, i, "batch"), int64(u.Batch), 1, maxBatch)
		v.kind(i, u)
		v.pool(i, u)
	}
}

// kind checks the fields that only one kind of upstream has.
func (v *validator) kind(i int, u Upstream) {
	switch u.Kind {
	case UpstreamEngine:
		if !v.models[u.Base] {
			v.fail(at(SectionUpstreams, i, "base"), ReasonReference, "no base model "+strconv.Quote(string(u.Base)))
		}
		v.within(at(SectionUpstreams, i, "slots"), int64(u.Slots), 1, maxSlots)
	case UpstreamService:
		if u.Base != "" {
			v.fail(at(SectionUpstreams, i, "base"), ReasonConflict, "a service has no base model")
		}
		if u.Slots != 0 {
			v.fail(at(SectionUpstreams, i, "slots"), ReasonConflict, "a service has no adapter slots")
		}
	default:
		v.fail(at(SectionUpstreams, i, "kind"), ReasonForm, strconv.Quote(string(u.Kind))+" must be engine or service")
	}
}

// pool checks that a pool holds one kind of upstream.
func (v *validator) pool(i int, u Upstream) {
	path := at(SectionUpstreams, i, "pool")
	if !goodName(u.Pool) {
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

// address checks an upstream's ip:port and that it is the only one there.
func (v *validator) address(path, address string, seen map[string]bool) {
	switch {
	case address == "":
		v.fail(path, ReasonMissing, "must be set")
	case !goodAddress(address):
		v.fail(path, ReasonForm, strconv.Quote(address)+" must be an IP number and a port, such as 10.0.0.7:8000")
	case seen[address]:
		v.fail(path, ReasonDuplicate, "another upstream has this address")
	}
	seen[address] = true
}

// goodAddress accepts IPv4:port and [IPv6]:port.
func goodAddress(s string) bool {
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

func (v *validator) routes() {
	seen := map[string]bool{}
	for i, r := range v.doc.Routes {
		v.path(at(SectionRoutes, i, "path"), r.Path, seen)
		v.routeKind(i, r)
		if _, ok := ParseClass(r.Class); !ok {
			v.fail(at(SectionRoutes, i, "class"), ReasonForm, strconv.Quote(r.Class)+" must be interactive, normal or overnight")
		}
		v.within(at(SectionRoutes, i, "cost"), r.Cost, 0, maxTokens)
		v.members(at(SectionRoutes, i, "workspaces"), r.Workspaces)
		v.open(i, r)
	}
}

func (v *validator) path(path, p string, seen map[string]bool) {
	reserved := slices.ContainsFunc(reservedPaths, func(x string) bool {
		return p == x || strings.HasPrefix(p, x+"/")
	})
	switch {
	case !strings.HasPrefix(p, "/") || len(p) > maxNameBytes || strings.ContainsAny(p, "?#% \t\r\n"):
		v.fail(path, ReasonForm, strconv.Quote(p)+" must start with / and hold no query, escape or space")
	case reserved:
		v.fail(path, ReasonConflict, p+" is answered by the hosts themselves")
	case seen[p]:
		v.fail(path, ReasonDuplicate, p+" stands twice")
	}
	seen[p] = true
}

func (v *validator) routeKind(i int, r Route) {
	want := UpstreamEngine
	switch r.Kind {
	case RouteCompletions, RouteChat:
		if r.Cost != 0 {
			v.fail(at(SectionRoutes, i, "cost"), ReasonConflict, "only a service route has a cost; others are charged by tokens")
		}
	case RouteService:
		want = UpstreamService
	default:
		v.fail(at(SectionRoutes, i, "kind"), ReasonForm, strconv.Quote(string(r.Kind))+" must be completions, chat or service")
	}
	path := at(SectionRoutes, i, "pool")
	if r.Pool == "" {
		v.fail(path, ReasonMissing, "must name a pool")
		return
	}
	if kind, known := v.pools[r.Pool]; known && kind != want {
		v.fail(path, ReasonConflict, "pool "+strconv.Quote(r.Pool)+" holds upstreams of kind "+string(kind))
	}
}

// open checks who pays for a route and who may use it.
func (v *validator) open(i int, r Route) {
	path := at(SectionRoutes, i, "charged")
	switch {
	case r.Open && r.Charged == "":
		v.fail(path, ReasonMissing, "an open route must name the workspace whose limit it spends")
	case r.Open && !v.workspaces[r.Charged]:
		v.fail(path, ReasonReference, "no workspace "+strconv.Quote(string(r.Charged)))
	case !r.Open && r.Charged != "":
		v.fail(path, ReasonConflict, "only an open route is charged to a workspace; others to that of the key")
	}
	if r.Open && len(r.Workspaces) > 0 {
		v.fail(at(SectionRoutes, i, "workspaces"), ReasonConflict, "an open route is for all")
	}
}
