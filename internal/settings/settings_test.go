package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/peer"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const validSettings = `host:
  name: sofia-a-0
  domain: sofia-a
  region: sofia
listen:
  callers: 127.0.0.2:8080
  links: 127.0.0.2:8443
platform: 127.0.0.1:7000
secrets:
  keys: keys.secret
tls:
  authority: authority.pem
  certificate: a.pem
  key: a-key.pem
limits:
  body: 2MiB
  stall: 1500ms
`

func TestValidSettingsAreParsed(t *testing.T) {
	is := is.New(t)
	h, err := Parse("host.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(h.Limits.Body.Bytes(), 2<<20)
	is.Equal(h.Limits.Header.BytesOr(7), 7)
	is.Equal(h.Limits.Stall.Value(), 1500*time.Millisecond)
	is.Equal(h.Timings.Poll.ValueOr(time.Second), time.Second)
	is.Equal(h.LogLevel(), "info")
}

func TestInvalidSettingsNameFileLineAndField(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ old, now, want string }{
		{"  region: sofia\n", "  region: sofia\n  rack: 7\n", "host.yaml:5: rack: "},
		{"  region: sofia\n", "  region: sofia\n  region: sofia\n", "host.yaml:5: region: "},
		{"  domain: sofia-a\n", "", "host.yaml:2: host.domain: is missing"},
		{"body: 2MiB", "body: 2MB", `host.yaml:16: limits.body: "2MB" is not a size`},
		{"body: 2MiB", "body: 2", `host.yaml:16: limits.body: "2" is not a size`},
		{"stall: 1500ms", "stall: 10", `host.yaml:17: limits.stall: "10" is not a duration`},
		{"stall: 1500ms", "stall: -1s", `host.yaml:17: limits.stall: "-1s" is not a duration`},
		{"127.0.0.1:7000", "platform", `host.yaml:8: platform: "platform" is not an ip:port`},
		{"limits:\n", "limits:\n  connections: many\n", "host.yaml:16: many: "},
		{"limits:\n", "log: loud\nlimits:\n", `host.yaml:15: log: "loud" is not one of`},
		{"limits:\n", "timings: {lease_term: 10s, lease_renew: 4s}\nlimits:\n", "host.yaml:15: timings.lease_renew: more than a third"},
		{"limits:\n", "operators: [{name: ana, hash: '12'}]\nlimits:\n", "host.yaml:15: operators[0].hash: is not a hash"},
		{"limits:\n", "limits: [\n", "host.yaml:"},
	} {
		_, err := Parse("host.yaml", []byte(strings.Replace(validSettings, test.old, test.now, 1)))
		is.True(Invalid.Has(err))
		if !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q\n  does not say %q", err, test.want)
		}
	}
}

func TestMissingKeyMaterialNamesItsField(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "host.yaml")
	write := func(name string, b []byte) { is.NoErr(os.WriteFile(filepath.Join(dir, name), b, 0o600)) }
	write("host.yaml", []byte(validSettings))
	h, err := Load(file)
	is.NoErr(err)
	_, err = h.KeySecret()
	is.True(strings.Contains(err.Error(), file+":10: secrets.keys: "))
	write("keys.secret", []byte("short\n"))
	_, err = h.KeySecret()
	is.True(strings.Contains(err.Error(), "less than 16 bytes"))
	_, err = h.LinkMaterial()
	is.True(Invalid.Has(err) && strings.Contains(err.Error(), file+":12: tls.authority: "))
	authority, err := peer.NewAuthority("test", time.Hour)
	is.NoErr(err)
	id, err := authority.Issue("a", time.Hour)
	is.NoErr(err)
	write("keys.secret", []byte("a secret of some length\n"))
	write("authority.pem", authority.PEM)
	write("a.pem", id.Certificate)
	write("a-key.pem", id.Key)
	secret, err := h.KeySecret()
	is.NoErr(err)
	is.Equal(string(secret), "a secret of some length")
	_, err = h.LinkMaterial()
	is.NoErr(err)
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/host-*.yaml")
	is.NoErr(err)
	is.True(len(files) >= 3)
	for _, f := range files {
		_, err := Load(f)
		is.NoErr(err)
	}
}

func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	const file = "../../docs/settings.md"
	if *update {
		is.NoErr(os.WriteFile(file, []byte(MarkdownPage()), 0o644))
	}
	b, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(b), MarkdownPage()) // go test ./internal/settings -run TestPageIsCurrent -update
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("host: [1, {a: b}]"))
	f.Add([]byte("&a [*a]"))
	f.Add([]byte("limits: {body: 9999999999999999999GiB}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		h, err := Parse("f", b)
		if err != nil {
			is.True(Invalid.Has(err))
			return
		}
		is.True(h.Host.Name != "" && h.Limits.Body.Bytes() >= 0 && h.Limits.Read.Value() >= 0)
	})
}

// A capacity that is not finite could not be sent to other hosts.
func TestCapacityMustBeFinite(t *testing.T) {
	is := is.New(t)
	const text = `host: {name: a, domain: d, region: r}
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3", links: "127.0.0.1:4", metrics: "127.0.0.1:5"}
store: 127.0.0.1:6
keep: 1s
shutdown: 8s
capacity: {share: %s, speed: 1}
`
	_, err := Decode[Relay]("relay.yaml", fmt.Appendf(nil, text, "0.5"))
	is.NoErr(err)
	for _, share := range []string{".inf", "-.inf", ".nan"} {
		_, err = Decode[Relay]("relay.yaml", fmt.Appendf(nil, text, share))
		is.True(Invalid.Has(err))
	}
}

// The platform's settings may say 0, which is no error: evacuations are not observed.
func TestEvacuationIsADurationOrZero(t *testing.T) {
	is := is.New(t)
	const text = `host: {name: a, domain: d, region: r}
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3", links: "127.0.0.1:4"}
store: 127.0.0.1:6
%s
`
	for line, want := range map[string]time.Duration{"": 0, "evacuation: 0": 0, "evacuation: 0ms": 0, "evacuation: 5000ms": 5 * time.Second} {
		s, err := Decode[Relay]("relay.yaml", fmt.Appendf(nil, text, line))
		is.NoErr(err)
		is.Equal(s.Evacuation.Value(), want)
	}
	for _, line := range []string{"evacuation: -1s", "evacuation: 5", "evacuation: soon"} {
		_, err := Decode[Relay]("relay.yaml", fmt.Appendf(nil, text, line))
		is.True(Invalid.Has(err))
		is.True(strings.Contains(err.Error(), "relay.yaml:4: evacuation: "))
	}
}
