package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/settings"
)

func TestExampleRunsAndStops(t *testing.T) {
	is := is.New(t)
	const file = "../../../examples/standins.yaml"
	b, err := os.ReadFile(file)
	is.NoErr(err)
	s, err := Parse(file, b)
	is.NoErr(err)
	is.True(len(s.Engines) > 1 && len(s.Services) > 0)
	for i := range s.Engines {
		s.Engines[i].Listen = "127.0.0.1:0"
	}
	for i := range s.Services {
		s.Services[i].Listen = "127.0.0.1:0"
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	platform := free.Addr().String()
	is.NoErr(free.Close())
	s.Platform.Listen = platform
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s) }()
	list := ""
	for !strings.Contains(list, s.Engines[0].Name) {
		time.Sleep(time.Millisecond)
		if r, err := http.Get("http://" + platform + "/v1/hosts"); err == nil {
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			list = string(text)
		}
	}
	r, err := http.Post("http://"+platform+"/admin/store", "application/json", strings.NewReader(`{"down":true}`))
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, 200)
	cancel()
	is.NoErr(<-done)
}

func TestBadSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := Parse("s.yaml", []byte("engines:\n  - name: a\n    listen: nowhere\n"))
	is.True(settings.Invalid.Has(err))
	is.True(strings.Contains(err.Error(), `s.yaml:3: engines[0].listen: "nowhere" is not an ip:port`))
}
