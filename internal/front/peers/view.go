package peers

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
)

// methodView returns a front's view in parts, as a whole one may not fit into a message.
const methodView = "View"

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
	// Revision is that of the view whose first parts the front has, 0 for none, and Offset their size.
	Revision int64
	Offset   int
}

// viewPart is a part of an encoded view of Size bytes; Revision is 0 if there is none that is newer.
type viewPart struct {
	Revision int64
	Size     int
	Data     []byte
	// ReachAge is the time since the store had last answered the front when it was asked, directly or
	// through another front; nil from fronts of earlier versions.
	ReachAge *time.Duration `json:",omitempty"`
}

// viewEncoder encodes the newest view once for all fronts that ask for it.
type viewEncoder struct {
	follower *follow.Follower
	mu       sync.Mutex
	// revision is that of the view that data encodes.
	revision int64
	data     []byte
}

// part returns a part of the view that is asked for, or the first one of the newest view.
func (e *viewEncoder) part(r viewRequest) (viewPart, error) {
	age := e.follower.ConfirmedAge()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Offset == 0 || r.Revision != e.revision {
		view, ok := e.follower.Snapshot(r.After)
		if !ok {
			return viewPart{ReachAge: &age}, nil
		}
		data, err := json.Marshal(view)
		if err != nil {
			return viewPart{}, err
		}
		e.revision, e.data, r.Offset = view.Revision, data, 0
	}
	from := min(max(0, r.Offset), len(e.data))
	return viewPart{Revision: e.revision, Size: len(e.data), Data: e.data[from:min(len(e.data), from+maxPartBytes)], ReachAge: &age}, nil
}

var (
	errViewTooLong  = errors.New("the view is too long")
	errViewChanging = errors.New("the view changed while it was read")
)

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
		if err == nil && view.Revision > revision {
			view.Contact = contact
			return view, true
		}
	}
	return follow.View{Contact: contact}, false
}

// fetchView returns a front's view if it is newer than a revision, and else an empty one. It adds the
// front's answers to contact.
func (m *Client) fetchView(ctx context.Context, address string, after int64, contact *follow.Contact) (follow.View, error) {
	for range maxViewReads {
		var data []byte
		request := viewRequest{After: after}
		for {
			part, err := m.fetchPart(ctx, address, request, contact)
			if err != nil || part.Revision == 0 {
				return follow.View{}, err
			}
			if part.Size > maxViewBytes {
				return follow.View{}, errViewTooLong
			}
			if request.Offset > 0 && part.Revision != request.Revision {
				break
			}
			data = append(data, part.Data...)
			if len(data) >= part.Size || len(part.Data) == 0 {
				var view follow.View
				err := json.Unmarshal(data, &view)
				return view, err
			}
			request.Revision, request.Offset = part.Revision, len(data)
		}
	}
	return follow.View{}, errViewChanging
}

// fetchPart returns a part of a front's view, and adds what it tells of the store to contact.
func (m *Client) fetchPart(ctx context.Context, address string, r viewRequest, contact *follow.Contact) (viewPart, error) {
	var part viewPart
	err := m.call(ctx, address, methodView, callTimeout, r, &part)
	if err == nil && part.ReachAge != nil {
		contact.Add(*part.ReachAge)
	}
	return part, err
}
