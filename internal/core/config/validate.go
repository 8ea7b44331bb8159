package config

import (
	"slices"
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// Bounds on a document.
const (
	maxNameBytes  = 128
	maxVersions   = 256            // of one adapter
	maxTokens     = int64(1) << 40 // of a rate, a burst or a cost
	maxWeight     = 1000
	maxSlots      = 4096
	maxBatch      = 65536
	hashHexDigits = 64
)

// reservedPaths can't be routes: hosts answer them themselves.
var reservedPaths = []string{"/healthz", "/metrics", "/v1/entries", "/console"}

// validator collects a document's problems.
type validator struct {
	doc        *Document
	problems   []Problem
	models     map[core.BaseModel]bool
	workspaces map[core.WorkspaceID]bool
	pools      map[string]UpstreamKind
}

// Validate returns everything that is wrong with a document, section by section; nil
// if it is valid.
func Validate(d *Document) []Problem {
	v := &validator{
		doc:        d,
		models:     map[core.BaseModel]bool{},
		workspaces: map[core.WorkspaceID]bool{},
		pools:      map[string]UpstreamKind{},
	}
	for _, b := range d.BaseModels {
		v.models[b.ID] = true
	}
	for _, w := range d.Workspaces {
		v.workspaces[w.ID] = true
	}
	v.checkBaseModels()
	v.checkWorkspaceLimits()
	v.checkKeys()
	v.checkAdapters()
	v.checkUpstreams()
	v.checkRoutes()
	return v.problems
}

// Check is Validate with the result as an error: nil or an *InvalidError.
func Check(d *Document) error {
	if problems := Validate(d); len(problems) > 0 {
		return &InvalidError{problems}
	}
	return nil
}

// fieldPath returns the path of an entry's field, such as adapters[3].base.
func fieldPath(s Section, i int, field string) string {
	return string(s) + "[" + strconv.Itoa(i) + "]." + field
}

func (v *validator) fail(path string, r Reason, why string) {
	v.problems = append(v.problems, Problem{Path: path, Reason: r, Why: why})
}

// checkName checks an identity's form and that it is unique.
func (v *validator) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.fail(path, ReasonMissing, "must be set")
	case !validName(name):
		v.fail(path, ReasonForm, strconv.Quote(name)+" must be 1 to 128 letters, digits, '.', '_', ':' or '-'")
	case seen[name]:
		v.fail(path, ReasonDuplicate, strconv.Quote(name)+" is listed twice")
	}
	seen[name] = true
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("._:-", rune(c)) {
			return false
		}
	}
	return true
}

func (v *validator) checkRange(path string, n, low, high int64) {
	if n < low || n > high {
		v.fail(path, ReasonRange, strconv.FormatInt(n, 10)+" is not in "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
	}
}

// checkWorkspaces checks a list of workspaces for unknown ones and duplicates.
func (v *validator) checkWorkspaces(path string, list []core.WorkspaceID) {
	for i, w := range list {
		p := path + "[" + strconv.Itoa(i) + "]"
		if !v.workspaces[w] {
			v.fail(p, ReasonReference, "no workspace "+strconv.Quote(string(w)))
		}
		if slices.Index(list, w) < i {
			v.fail(p, ReasonDuplicate, strconv.Quote(string(w))+" is listed twice")
		}
	}
}

func (v *validator) checkBaseModels() {
	seen := map[string]bool{}
	for i, b := range v.doc.BaseModels {
		v.checkName(fieldPath(SectionBaseModels, i, "id"), string(b.ID), seen)
	}
}

func (v *validator) checkWorkspaceLimits() {
	seen := map[string]bool{}
	for i, w := range v.doc.Workspaces {
		v.checkName(fieldPath(SectionWorkspaces, i, "id"), string(w.ID), seen)
		v.checkRange(fieldPath(SectionWorkspaces, i, "rate"), w.Rate, 0, maxTokens)
		v.checkRange(fieldPath(SectionWorkspaces, i, "burst"), w.Burst, 0, maxTokens)
		v.checkRange(fieldPath(SectionWorkspaces, i, "weight"), int64(w.Weight), 1, maxWeight)
	}
}

func (v *validator) checkKeys() {
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, k := range v.doc.Keys {
		v.checkName(fieldPath(SectionKeys, i, "id"), k.ID, seen)
		if !v.workspaces[k.Workspace] {
			v.fail(fieldPath(SectionKeys, i, "workspace"), ReasonReference, "no workspace "+strconv.Quote(string(k.Workspace)))
		}
		path := fieldPath(SectionKeys, i, "hash")
		switch {
		case !validHash(k.Hash):
			v.fail(path, ReasonForm, "must be 64 lower-case hex digits")
		case hashes[k.Hash]:
			v.fail(path, ReasonDuplicate, "another key has this hash")
		}
		hashes[k.Hash] = true
	}
}

func validHash(s string) bool {
	return len(s) == hashHexDigits && strings.Trim(s, "0123456789abcdef") == ""
}

func (v *validator) checkAdapters() {
	seen := map[string]bool{}
	for i, a := range v.doc.Adapters {
		v.checkName(fieldPath(SectionAdapters, i, "id"), string(a.ID), seen)
		if !v.models[a.Base] {
			v.fail(fieldPath(SectionAdapters, i, "base"), ReasonReference, "no base model "+strconv.Quote(string(a.Base)))
		}
		v.checkVersions(i, a)
		v.checkWorkspaces(fieldPath(SectionAdapters, i, "workspaces"), a.Workspaces)
	}
}

func (v *validator) checkVersions(i int, a Adapter) {
	path := fieldPath(SectionAdapters, i, "versions")
	if len(a.Versions) == 0 {
		v.fail(path, ReasonMissing, "an adapter needs a version")
		return
	}
	if len(a.Versions) > maxVersions {
		v.fail(path, ReasonRange, "more than "+strconv.Itoa(maxVersions)+" versions")
		return
	}
	for j, n := range a.Versions {
		v.checkRange(path+"["+strconv.Itoa(j)+"]", int64(n), 1, 1<<31-1)
		if slices.Index(a.Versions, n) < j {
			v.fail(path+"["+strconv.Itoa(j)+"]", ReasonDuplicate, strconv.Itoa(n)+" is listed twice")
		}
	}
	if !slices.Contains(a.Versions, a.Default) {
		v.fail(fieldPath(SectionAdapters, i, "default"), ReasonReference, strconv.Itoa(a.Default)+" is not one of the versions")
	}
}
