package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the maximum size of a message in bytes. It limits how long one message can delay others
// on the same connection.
const MaxFrameBytes = 512 << 10

const (
	headerBytes = 4
	// streamBit marks a frame that carries a stream message in MessagePack instead of JSON-RPC.
	streamBit = 1 << 31
)

// FrameTooLongError reports a message larger than its bound.
type FrameTooLongError struct {
	Bytes int
	Bound int
}

// Error returns the message size and the limit.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the frame bound of %d bytes", e.Bytes, e.Bound)
}

// frameStream reads and writes length-prefixed messages on a transport. A frame
// is a four-byte big-endian length followed by a JSON-RPC message. If the top
// bit of the length is set, a one-byte kind and a MessagePack stream message
// follow instead, without JSON-RPC, because tokens come by the thousand.
type frameStream struct {
	conn     io.ReadWriteCloser
	r        *bufio.Reader
	onStream func(kind byte, data []byte)
	// bound returns the most bytes that the next message may have.
	bound func() int
	// take waits for the memory of a message, and returns the function that releases it.
	take    func(bytes int) (release func())
	writeMu sync.Mutex
}

func newFrameStream(conn io.ReadWriteCloser, onStream func(kind byte, data []byte)) *frameStream {
	return &frameStream{
		conn: conn, r: bufio.NewReader(conn), onStream: onStream,
		bound: func() int { return MaxFrameBytes }, take: func(int) func() { return func() {} },
	}
}

// WriteObject writes obj as one JSON-RPC message.
func (f *frameStream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	frame := make([]byte, headerBytes, headerBytes+len(data))
	return f.writeFrame(append(frame, data...), 0)
}

// writeStream writes one stream message.
func (f *frameStream) writeStream(kind byte, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	frame := make([]byte, headerBytes, headerBytes+1+len(data))
	return f.writeFrame(append(append(frame, kind), data...), streamBit)
}

// writeFrame fills in the header of a frame and writes the frame.
func (f *frameStream) writeFrame(frame []byte, flag uint32) error {
	size := len(frame) - headerBytes
	if size > MaxFrameBytes {
		return &FrameTooLongError{size, MaxFrameBytes}
	}
	binary.BigEndian.PutUint32(frame, uint32(size)|flag)
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	_, err := f.conn.Write(frame)
	return err
}

// ReadObject decodes the next JSON-RPC message into v. It passes the stream messages before it to onStream.
func (f *frameStream) ReadObject(v any) error {
	for {
		data, stream, err := f.readFrame()
		if err != nil {
			return err
		}
		if !stream {
			return json.Unmarshal(data, v)
		}
		if len(data) > 0 {
			f.onStream(data[0], data[1:])
		}
	}
}

// readFrame reads one frame and reports whether it carries a stream message.
func (f *frameStream) readFrame() (data []byte, stream bool, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, false, err
	}
	size := binary.BigEndian.Uint32(header[:])
	stream = size&streamBit != 0
	if size &^= streamBit; int(size) > f.bound() {
		return nil, false, &FrameTooLongError{int(size), f.bound()}
	}
	defer f.take(int(size))()
	data = make([]byte, size)
	_, err = io.ReadFull(f.r, data)
	return data, stream, err
}

// Close closes the underlying transport.
func (f *frameStream) Close() error {
	return f.conn.Close()
}
