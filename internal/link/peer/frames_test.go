package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// buffer is an in-memory transport.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

// FuzzFrame checks that no input makes the reader panic or accept a frame larger than MaxFrameBytes.
func FuzzFrame(f *testing.F) {
	var buf buffer
	if err := newFrameStream(&buf, nil).WriteObject(Hello{Node: "a", Epoch: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{0x80, 0, 0, 2, 1, 0xc0})
	f.Add([]byte{0x80, 0, 0, 0, 0, 0, 0, 1, '1'})
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, '{'})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		var in buffer
		in.Write(data)
		err := newFrameStream(&in, func(byte, []byte) {}).ReadObject(&v)
		if err == nil && len(v) > MaxFrameBytes {
			t.Fatalf("accepted a frame of %d bytes, over MaxFrameBytes", len(v))
		}
	})
}

func TestWriteRejectsMessageOverMaxFrameBytes(t *testing.T) {
	var tooLong *FrameTooLongError
	if err := newFrameStream(&buffer{}, nil).WriteObject(make([]byte, MaxFrameBytes)); !errors.As(err, &tooLong) {
		t.Fatalf("error = %v, want *FrameTooLongError", err)
	}
}
