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

// RevisionHeader carries a value's revision in the platform's answers.
const RevisionHeader = "Revision"

const (
	// DefaultReadTimeout bounds a read of a value or of the VM list.
	DefaultReadTimeout = 2 * time.Second
	// DefaultWait is how long a watch may wait. A connection can go silent
	// for good while new ones work; a watch on it is given up after Wait and
	// ReadTimeout, and the next one uses another connection.
	DefaultWait = 3 * time.Second
)

// HTTPPlatform reads the platform over HTTP:
//
//	GET {Base}/Values/{name}
//	GET {Base}/Values/{name}?After={revision}&Wait={duration}
//	GET {Base}/VMs
//
// A value is answered with 200, its revision in the header Revision, and its
// body. The second form is a long poll: if the value isn't above After, it is
// answered after Wait with 304 and the header. VMs is a JSON array of VM.
type HTTPPlatform struct {
	// Base is the URL before the paths.
	Base string
	// Client is http.DefaultClient if it is nil.
	Client *http.Client
	// ReadTimeout and Wait have defaults where they are 0.
	ReadTimeout time.Duration
	Wait        time.Duration
}

// Platform returns the functions that read over HTTP.
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

// answer is what a response says.
type answer struct {
	code     int
	status   string
	revision string
	body     []byte
}

// fetch returns the answer with a body of at most one byte over the limit,
// which is enough to refuse it.
func (h *HTTPPlatform) fetch(ctx context.Context, path string, timeout time.Duration) (a answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.Base+path, http.NoBody)
	if err != nil {
		return answer{}, err
	}
	res, err := h.Client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxRecordBytes+1))
	return answer{
		code:     res.StatusCode,
		status:   res.Status,
		revision: res.Header.Get(RevisionHeader),
		body:     body,
	}, err
}
