package bronzeconf

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// RevisionHeader is the header of the platform's responses that holds a value's
// revision.
const RevisionHeader = "Revision"

const (
	// DefaultReadTimeout is the default of HTTPPlatform.ReadTimeout.
	DefaultReadTimeout = 2 * time.Second
	// DefaultWait is the default of HTTPPlatform.Wait. A connection can stop
	// responding while new ones work. A watch on it is given up after Wait
	// plus ReadTimeout, and the next one uses another connection.
	DefaultWait = 3 * time.Second
)

// HTTPPlatform reads the platform over HTTP:
//
//	GET {Base}/Values/{name}
//	GET {Base}/Values/{name}?After={revision}&Wait={duration}
//	GET {Base}/VMs
//
// A value is returned with status 200, its revision in the header Revision, and
// its body. The second form is a long poll: if the revision isn't above After,
// the response is sent after Wait, with status 304 and the header. VMs is a JSON
// array of VM.
type HTTPPlatform struct {
	// Base is the URL to which the paths are appended.
	Base string
	// Client is the HTTP client; nil means http.DefaultClient.
	Client *http.Client
	// ReadTimeout limits a read of a value or of the VM list; 0 means
	// DefaultReadTimeout.
	ReadTimeout time.Duration
	// Wait is how long a watch may wait for a change; 0 means DefaultWait.
	Wait time.Duration
}

// Platform returns a Platform that reads over HTTP.
func (h HTTPPlatform) Platform() Platform {
	if h.Client == nil {
		h.Client = http.DefaultClient
	}
	if h.ReadTimeout == 0 {
		h.ReadTimeout = DefaultReadTimeout
	}
	if h.Wait == 0 {
		h.Wait = DefaultWait
	}
	return Platform{Read: h.read, Watch: h.watch, VMs: h.vms}
}

func (h *HTTPPlatform) read(ctx context.Context, name string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "read value %q", name) }()
	return h.get(ctx, h.valuePath(name), h.ReadTimeout)
}

func (h *HTTPPlatform) watch(ctx context.Context, name string, after uint64) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "watch value %q after %d", name, after) }()
	query := url.Values{
		"After": {strconv.FormatUint(after, 10)},
		"Wait":  {h.Wait.String()},
	}
	return h.get(ctx, h.valuePath(name)+"?"+query.Encode(), h.Wait+h.ReadTimeout)
}

func (h *HTTPPlatform) vms(ctx context.Context) (list []VM, err error) {
	defer func() { err = errors.Wrap(err, "read VM list") }()
	a, err := h.fetch(ctx, "/VMs", h.ReadTimeout)
	if err != nil {
		return nil, err
	}
	if a.code != http.StatusOK {
		return nil, errors.Errorf("status %s", a.status)
	}
	if len(a.body) > MaxRecordBytes {
		return nil, errors.Errorf("is longer than %d bytes", MaxRecordBytes)
	}
	err = json.Unmarshal(a.body, &list)
	return list, err
}

func (h *HTTPPlatform) valuePath(name string) string {
	return "/Values/" + url.PathEscape(name)
}

func (h *HTTPPlatform) get(ctx context.Context, path string, timeout time.Duration) (v Value, err error) {
	a, err := h.fetch(ctx, path, timeout)
	if err != nil {
		return Value{}, err
	}
	switch a.code {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	default:
		return Value{}, errors.Errorf("status %s", a.status)
	}
	rev, err := strconv.ParseUint(a.revision, 10, 64)
	if err != nil {
		return Value{}, errors.Errorf("header %s %q is not a revision", RevisionHeader, a.revision)
	}
	return Value{Revision: rev, Body: a.body}, nil
}

// response is the part of an HTTP response that is used.
type response struct {
	code     int
	status   string
	revision string
	body     []byte
}

// fetch requests path. It reads at most one byte of the body over the limit,
// which is enough to refuse it.
func (h *HTTPPlatform) fetch(ctx context.Context, path string, timeout time.Duration) (a response, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.Base+path, http.NoBody)
	if err != nil {
		return response{}, err
	}
	res, err := h.Client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxRecordBytes+1))
	return response{
		code:     res.StatusCode,
		status:   res.Status,
		revision: res.Header.Get(RevisionHeader),
		body:     body,
	}, err
}
