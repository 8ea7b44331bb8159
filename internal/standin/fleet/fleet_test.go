package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

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
	s.Platform.Listen = "127.0.0.1:0"
	f, err := Listen(s)
	is.NoErr(err)
	platform := f.Address(PlatformName)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	hosts, err := http.Get("http://" + platform + "/v1/hosts")
	is.NoErr(err)
	list, err := io.ReadAll(hosts.Body)
	is.NoErr(err)
	is.NoErr(hosts.Body.Close())
	is.True(strings.Contains(string(list), s.Engines[0].Name))
	r, err := http.Post("http://"+platform+"/admin/store", "application/json", strings.NewReader(`{"down":true}`))
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, 200)
	cancel()
	is.NoErr(<-done)
}

// Guards against a test of CI that waited until its time was over for emulators that had not
// started, because another process had taken a port meanwhile.
func TestTakenAddressIsAnError(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(taken.Close()) }()
	s := &Settings{Services: []Service{
		{Name: "first", Listen: "127.0.0.1:0"},
		{Name: "second", Listen: taken.Addr().String()},
	}}
	err = Run(context.Background(), s)
	is.True(Error.Has(err))
	is.True(strings.Contains(err.Error(), "second"))
}

func TestBadSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := Parse("s.yaml", []byte("engines:\n  - name: a\n    listen: nowhere\n"))
	is.True(settings.Invalid.Has(err))
	is.True(strings.Contains(err.Error(), `s.yaml:3: engines[0].listen: "nowhere" is not an ip:port`))
}
