// Package platform is the client of the platform's services: the object API, a
// versioned key-value store, and the platform's list of hosts, which lags. It sends each
// call once and reports whether a failed write may have been applied; retries are the
// caller's decision.
package platform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Error is the class of errors from reading the host list.
var Error = errs.Class("platform")

// Paths and header fields of the platform's HTTP interface. Keys are sent as query
// arguments, values as bodies, and versions in HeaderVersion.
const (
	PathObject        = "/v1/object"  // GET, PUT, DELETE ?key=
	PathObjects       = "/v1/objects" // GET ?prefix=
	PathWatch         = "/v1/watch"   // GET ?prefix=&after=
	PathHosts         = "/v1/hosts"   // GET
	HeaderVersion     = "X-Object-Version"
	HeaderIfMatch     = "If-Match"      // the version that the object must have
	HeaderIfNoneMatch = "If-None-Match" // "*": the key must not exist
)

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// Default timeouts of a client's calls.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultWatchTimeout = 30 * time.Second
)

// Listing is the answer to a list or watch call.
type Listing struct {
	Version uint64        `json:"version"`
	Objects []core.Object `json:"objects"`
}

// ListEntry is an entry of the platform's list of hosts and upstreams.
type ListEntry struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Client calls the platform at one address. It is safe for concurrent use.
type Client struct {
	*Transport
	address      string
	timeout      time.Duration
	watchTimeout time.Duration
}

// Options configure a client. Zero timeouts mean the defaults.
type Options struct {
	Address      string // ip:port
	Timeout      time.Duration
	WatchTimeout time.Duration // must be longer than the platform's own timeout for a watch
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	return &Client{Transport: NewTransport(o.Address, DefaultLimits), address: o.Address, timeout: o.Timeout, watchTimeout: o.WatchTimeout}
}

// Do sends one call and returns its result. ObjectUnavailable means that the call had
// no effect, ObjectUnknown that a write may or may not have been applied. A value over
// MaxValueBytes is not sent.
func (c *Client) Do(ctx context.Context, call core.ObjectCall) core.ObjectResult {
	result := core.ObjectResult{Tag: call.Tag}
	if len(call.Value) > MaxValueBytes {
		result.Status = core.ObjectUnavailable
		return result
	}
	request := encodeCall(c.address, call)
	timeout := c.timeout
	if call.Op == core.ObjectWatch {
		timeout = c.watchTimeout
	}
	response, err := c.Send(ctx, request, timeout)
	if err != nil {
		result.Status = core.ObjectUnknown
		if IsNotSent(err) {
			result.Status = core.ObjectUnavailable
		}
		return result
	}
	decodeResult(&result, call, response)
	return result
}

// encodeCall returns the HTTP request of a call.
func encodeCall(address string, call core.ObjectCall) *fasthttp.Request {
	r := &fasthttp.Request{}
	version := strconv.FormatUint(call.IfVersion, 10)
	query := url.Values{}
	path := PathObject
	switch call.Op {
	case core.ObjectList:
		path = PathObjects
		query.Set("prefix", call.Key)
	case core.ObjectWatch:
		path = PathWatch
		query.Set("prefix", call.Key)
		query.Set("after", version)
	default:
		query.Set("key", call.Key)
	}
	r.SetRequestURI("http://" + address + path + "?" + query.Encode())
	switch call.Op {
	case core.ObjectCreate:
		r.Header.SetMethod(fasthttp.MethodPut)
		r.Header.Set(HeaderIfNoneMatch, "*")
		r.SetBody(call.Value)
	case core.ObjectUpdate:
		r.Header.SetMethod(fasthttp.MethodPut)
		r.Header.Set(HeaderIfMatch, version)
		r.SetBody(call.Value)
	case core.ObjectDelete:
		r.Header.SetMethod(fasthttp.MethodDelete)
		if call.IfVersion != 0 {
			r.Header.Set(HeaderIfMatch, version)
		}
	}
	return r
}

// decodeResult fills in the result of a call from its HTTP answer.
func decodeResult(result *core.ObjectResult, call core.ObjectCall, r *fasthttp.Response) {
	switch r.StatusCode() {
	case fasthttp.StatusOK:
		result.Status = core.ObjectOK
	case fasthttp.StatusNotFound:
		result.Status = core.ObjectNotFound
		return
	case fasthttp.StatusPreconditionFailed:
		result.Status = core.ObjectConflict
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusBadRequest:
		result.Status = core.ObjectUnavailable // these statuses say that the platform did nothing
		return
	default:
		result.Status = core.ObjectUnknown
		return
	}
	if call.Op == core.ObjectList || call.Op == core.ObjectWatch {
		var l Listing
		if json.Unmarshal(r.Body(), &l) != nil {
			result.Status = core.ObjectUnknown
			return
		}
		result.Objects, result.Version = l.Objects, l.Version
		return
	}
	version, err := strconv.ParseUint(string(r.Header.Peek(HeaderVersion)), 10, 64)
	if err != nil {
		if result.Status == core.ObjectOK && call.Op != core.ObjectDelete {
			result.Status = core.ObjectUnknown // without a version, the answer doesn't show that the write was applied
		}
		return
	}
	result.Object = core.Object{Key: call.Key, Version: version, Value: append([]byte(nil), r.Body()...)}
	if result.Status == core.ObjectOK && (call.Op == core.ObjectCreate || call.Op == core.ObjectUpdate) {
		result.Object.Value = call.Value
	}
}

// ListHosts returns the platform's list of running and leaving hosts and upstreams. It
// may be outdated.
func (c *Client) ListHosts(ctx context.Context) ([]ListEntry, error) {
	r := &fasthttp.Request{}
	r.SetRequestURI("http://" + c.address + PathHosts)
	response, err := c.Send(ctx, r, c.timeout)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, Error.New("reading the host list failed with status %d", response.StatusCode())
	}
	var list []ListEntry
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, Error.Wrap(err)
	}
	return list, nil
}
