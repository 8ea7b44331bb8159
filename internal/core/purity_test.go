package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// allowedImports are the packages outside internal/core that its code may import.
var allowedImports = map[string]bool{
	"bytes": true, "cmp": true, "container/heap": true, "container/list": true,
	"crypto/hmac": true, "crypto/sha256": true, "crypto/subtle": true,
	"encoding/base64": true, "encoding/binary": true, "encoding/hex": true, "encoding/json": true,
	"errors": true, "fmt": true, "iter": true, "maps": true, "math": true, "math/bits": true,
	"math/rand/v2": true, "slices": true, "sort": true, "strconv": true, "strings": true,
	"time": true, "unicode": true, "unicode/utf8": true,
	"github.com/cespare/xxhash/v2": true, "github.com/fxamacker/cbor/v2": true,
	"github.com/goccy/go-yaml": true, "github.com/zeebo/errs": true,
}

// forbiddenCalls read a clock, wait, or use shared randomness.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Since", "Until", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Uint64N", "Float64", "Shuffle", "Perm", "N", "ExpFloat64", "NormFloat64"},
}

// findImpurities returns the forbidden imports, goroutines and calls of a source file.
func findImpurities(name string, src any) []string {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, src, 0)
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	report := func(pos token.Pos, what string) {
		found = append(found, fset.Position(pos).String()+": "+what)
	}
	for _, imp := range file.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		if !allowedImports[path] && !strings.HasPrefix(path, "gentiancroft/internal/core") {
			report(imp.Pos(), "imports "+path)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			report(x.Pos(), "starts a goroutine")
		case *ast.SelectorExpr:
			pkg, ok := x.X.(*ast.Ident)
			if !ok {
				return true
			}
			for _, f := range forbiddenCalls[pkg.Name] {
				if x.Sel.Name == f && pkg.Obj == nil {
					report(x.Pos(), "uses "+pkg.Name+"."+f)
				}
			}
		}
		return true
	})
	return found
}

func TestCoreIsPure(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		for _, f := range findImpurities(path, nil) {
			t.Error(f)
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 3) // the walk found the packages
}

func TestPurityCheckCanFail(t *testing.T) {
	is := is.New(t)
	const src = `package x
import ("net"; "time"; "math/rand/v2")
var _ net.Conn
func f() { go f(); time.Sleep(1); _ = rand.Int(); _ = time.Now() }`
	is.Equal(len(findImpurities("x.go", src)), 5)
}
