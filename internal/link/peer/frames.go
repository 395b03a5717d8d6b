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

// MaxFrame bounds the bytes of one message, so that no message holds up the others for long.
const MaxFrame = 512 << 10

const (
	headerBytes = 4
	// streamBit marks a frame that carries a stream message in MessagePack instead of JSON-RPC.
	streamBit = 1 << 31
)

// FrameTooLong reports a message over MaxFrame.
type FrameTooLong struct {
	Bytes int
}

// Error names the size and the bound.
func (e *FrameTooLong) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the frame bound of %d bytes", e.Bytes, MaxFrame)
}

// frames is a stream of messages over one transport. Each frame is its length
// in four bytes, big-endian, and a JSON-RPC message; with the top bit of the
// length set, a kind in one byte and a stream message, which passes JSON-RPC
// by because tokens come by the thousand.
type frames struct {
	conn     io.ReadWriteCloser
	r        *bufio.Reader
	onStream func(kind byte, data []byte)
	mu       sync.Mutex
}

func newFrames(conn io.ReadWriteCloser, onStream func(kind byte, data []byte)) *frames {
	return &frames{conn: conn, r: bufio.NewReader(conn), onStream: onStream}
}

// WriteObject writes one JSON-RPC message.
func (f *frames) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	frame := make([]byte, headerBytes, headerBytes+len(data))
	return f.write(append(frame, data...), 0)
}

// writeStream writes one stream message.
func (f *frames) writeStream(kind byte, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	frame := make([]byte, headerBytes, headerBytes+1+len(data))
	return f.write(append(append(frame, kind), data...), streamBit)
}

// write fills in the header of a frame and sends it whole.
func (f *frames) write(frame []byte, flag uint32) error {
	size := len(frame) - headerBytes
	if size > MaxFrame {
		return &FrameTooLong{size}
	}
	binary.BigEndian.PutUint32(frame, uint32(size)|flag)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.conn.Write(frame)
	return err
}

// ReadObject reads up to the next JSON-RPC message and hands on the stream messages before it.
func (f *frames) ReadObject(v any) error {
	for {
		data, stream, err := f.read()
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

// read reads one frame.
func (f *frames) read() (data []byte, stream bool, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, false, err
	}
	size := binary.BigEndian.Uint32(header[:])
	stream = size&streamBit != 0
	if size &^= streamBit; size > MaxFrame {
		return nil, false, &FrameTooLong{int(size)}
	}
	data = make([]byte, size)
	_, err = io.ReadFull(f.r, data)
	return data, stream, err
}

// Close closes the transport.
func (f *frames) Close() error {
	return f.conn.Close()
}
