package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
)

// methodView returns a front's view in parts, as a whole one may not fit into a message. Fronts of earlier
// versions answer methodNewer only: the parts of their method "View" name no encoding.
const methodView = "ViewPart"

const (
	// maxPartBytes bounds a part, which takes a third more in its message.
	maxPartBytes = peer.MaxFrameBytes / 2
	// maxViewBytes bounds a view that is read in parts.
	maxViewBytes = 64 << 20
	// maxViewReads bounds the tries to read a view that changes meanwhile.
	maxViewReads = 3
)

// viewRequest asks for a part of a view newer than a revision.
type viewRequest struct {
	After int64
	// Digest is that of the encoded view whose first parts the front has, and Offset their size; both are 0
	// for the first part.
	Digest uint64
	Offset int
	// Bulk is true if large values are only to be named.
	Bulk bool `json:",omitempty"`
	// Eras is true if the front knows eras of the store; others get no view of a later one.
	Eras bool `json:",omitempty"`
}

// viewPart is a part of an encoded view of Size bytes; Revision is 0 if there is none that is newer.
type viewPart struct {
	Revision int64
	// Digest is the hash of all bytes of the encoded view. Views of one revision may differ, as keys can be
	// ahead of it.
	Digest uint64
	Size   int
	Data   []byte
	// ReachAge is the time since the store had last answered the front when it was asked, directly or
	// through another front.
	ReachAge time.Duration
	// CompleteAge is the time since which changes of the store may be missing in the view, or in one that is no
	// newer than what was asked for, when the front was asked; nil if it doesn't know.
	CompleteAge *time.Duration `json:",omitempty"`
}

// viewEncoder encodes the newest view once for all fronts that ask for it.
type viewEncoder struct {
	follower *follow.Follower
	mu       sync.Mutex
	// state and stable are what the encoded view was taken from; state is nil if there is none.
	state    *follow.State
	stable   bool
	slim     bool
	revision int64
	digest   uint64
	data     []byte
}

// part returns a part of the encoded view that is asked for, or the first one of the newest view.
func (e *viewEncoder) part(r viewRequest) (viewPart, error) {
	age := e.follower.ConfirmedAge()
	var completeAge *time.Duration
	if a, ok := e.follower.CompleteAge(); ok {
		completeAge = &a
	}
	if !r.Eras && e.follower.State().HasReturned() {
		return viewPart{ReachAge: age}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Offset == 0 || e.state == nil || r.Digest != e.digest {
		ok, err := e.encode(r.After, r.Bulk)
		if !ok || err != nil {
			return viewPart{ReachAge: age, CompleteAge: completeAge}, err
		}
	}
	from := 0
	if r.Digest == e.digest {
		// The encoded view is the same after a restart as well.
		from = min(max(0, r.Offset), len(e.data))
	}
	return viewPart{Revision: e.revision, Digest: e.digest, Size: len(e.data), Data: e.data[from:min(len(e.data), from+maxPartBytes)], ReachAge: age, CompleteAge: completeAge}, nil
}

// encode encodes the newest view unless that has been done; it reports whether the view is newer than a
// revision. The caller holds e.mu.
func (e *viewEncoder) encode(after int64, slim bool) (bool, error) {
	view, state, ok := e.follower.Snapshot(after)
	if !ok || state == e.state && view.Stable == e.stable && slim == e.slim {
		return ok, nil
	}
	if slim {
		view = view.Slim()
	}
	data, err := json.Marshal(view)
	if err != nil {
		return false, err
	}
	e.slim = slim
	e.state, e.stable, e.revision, e.digest, e.data = state, view.Stable, view.Revision, xxhash.Sum64(data), data
	return true, nil
}

var (
	errViewTooLong  = errors.New("the view is too long")
	errViewChanging = errors.New("the view changed while it was read")
)

// DamagedViewError is the error for a view that could not be decoded or is not what the front encoded.
type DamagedViewError struct {
	// Revision is that of the view, and Bytes its encoded size.
	Revision int64
	Bytes    int
	// Err is the error of the decoder, nil if the digest differs.
	Err error
}

// Error implements the error interface.
func (e *DamagedViewError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("the view of revision %d (%d bytes) differs from its digest", e.Revision, e.Bytes)
	}
	return fmt.Sprintf("the view of revision %d (%d bytes) can't be decoded: %v", e.Revision, e.Bytes, e.Err)
}

// Unwrap returns the error of the decoder.
func (e *DamagedViewError) Unwrap() error { return e.Err }

// isUnknownMethod reports whether a call failed since the other front doesn't know its method.
func isUnknownMethod(err error) bool {
	var remote *jsonrpc2.Error
	return errors.As(err, &remote) && remote.Code == jsonrpc2.CodeMethodNotFound
}

// FetchNewer asks up to sampleSize other fronts, chosen at random, for cluster state newer
// than a revision; false if none has it.
func (m *Client) FetchNewer(ctx context.Context, revision int64) (follow.View, bool) {
	var contact follow.Contact
	for _, address := range m.sampleFronts(sampleSize) {
		view, err := m.fetchView(ctx, address, revision, &contact)
		if isUnknownMethod(err) {
			// A front of an earlier version sends its view whole.
			err = m.call(ctx, address, methodNewer, callTimeout, revision, &view)
		}
		var damaged *DamagedViewError
		if errors.As(err, &damaged) {
			m.damagedViews.Inc()
			m.log.Warnw("view of another front refused; asking the next one", "Front", address, "Error", err.Error())
		}
		if err == nil {
			contact.AddComplete(view.CompleteAge)
		}
		if err == nil && view.Revision > revision {
			view.Contact, view.From = contact, address
			return view, true
		}
	}
	return follow.View{Contact: contact}, false
}

// fetchView returns a front's view if it is newer than a revision, and else an empty one. It adds the
// front's answers to contact.
func (m *Client) fetchView(ctx context.Context, address string, after int64, contact *follow.Contact) (follow.View, error) {
	return readView(after, func(r viewRequest) (viewPart, error) {
		r.Bulk, r.Eras = true, true
		return m.fetchPart(ctx, address, r, contact)
	})
}

// readView reads a view newer than a revision part by part; it is empty if there is none.
func readView(after int64, fetch func(viewRequest) (viewPart, error)) (follow.View, error) {
	for range maxViewReads {
		view, err := readParts(after, fetch)
		if !errors.Is(err, errViewChanging) {
			return view, err
		}
	}
	return follow.View{}, errViewChanging
}

// readParts is readView, and fails with errViewChanging if the view changes meanwhile.
func readParts(after int64, fetch func(viewRequest) (viewPart, error)) (follow.View, error) {
	var data []byte
	var completeAge *time.Duration
	for request := (viewRequest{After: after}); ; {
		part, err := fetch(request)
		if err != nil || part.Revision == 0 {
			return follow.View{CompleteAge: part.CompleteAge}, err
		}
		if part.Size > maxViewBytes {
			return follow.View{}, errViewTooLong
		}
		if request.Offset == 0 {
			completeAge = part.CompleteAge
		} else if part.Digest != request.Digest {
			return follow.View{}, errViewChanging
		}
		data = append(data, part.Data...)
		if len(data) >= part.Size || len(part.Data) == 0 {
			view, err := decodeView(data, part)
			view.CompleteAge = completeAge
			return view, err
		}
		request.Digest, request.Offset = part.Digest, len(data)
	}
}

// decodeView decodes a view whose last part is given.
func decodeView(data []byte, last viewPart) (follow.View, error) {
	if xxhash.Sum64(data) != last.Digest {
		return follow.View{}, &DamagedViewError{Revision: last.Revision, Bytes: len(data)}
	}
	var view follow.View
	if err := json.Unmarshal(data, &view); err != nil {
		return follow.View{}, &DamagedViewError{Revision: last.Revision, Bytes: len(data), Err: err}
	}
	return view, nil
}

// fetchPart returns a part of a front's view, and adds what it tells of the store to contact.
func (m *Client) fetchPart(ctx context.Context, address string, r viewRequest, contact *follow.Contact) (viewPart, error) {
	var part viewPart
	err := m.call(ctx, address, methodView, callTimeout, r, &part)
	if err == nil {
		contact.Add(part.ReachAge)
	}
	return part, err
}
