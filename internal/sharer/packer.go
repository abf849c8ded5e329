package sharer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _minPackedBytes is the size of changes, in bytes, from which they are compressed.
	_minPackedBytes = 2 << 10
	// _maxUnpackedBytes bounds what packed changes may unpack to, in bytes.
	_maxUnpackedBytes = 16 << 20
)

// packer compresses changes. The zero value is ready for use.
type packer struct {
	writer *flate.Writer
}

// pack returns the changes as packed_changes of a wire.Following.
func (p *packer) pack(list []*wire.ObjectChange) ([]byte, error) {
	text, err := proto.Marshal(&wire.ObjectChanges{Changes: list})
	if err != nil {
		return nil, fmt.Errorf("sharer: encode changes: %w", err)
	}
	var out bytes.Buffer
	if p.writer == nil {
		if p.writer, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, fmt.Errorf("sharer: pack changes: %w", err)
		}
	}
	p.writer.Reset(&out)
	// Writes to a bytes.Buffer never fail.
	_, _ = p.writer.Write(text)
	_ = p.writer.Close()
	return out.Bytes(), nil
}

// unpack returns the changes that pack has packed.
func unpack(packed []byte) ([]*wire.ObjectChange, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, _maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("sharer: unpack changes: %w", err)
	}
	if len(text) > _maxUnpackedBytes {
		return nil, fmt.Errorf("sharer: unpack changes: more than %d bytes", _maxUnpackedBytes)
	}
	var list wire.ObjectChanges
	if err := proto.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("sharer: decode changes: %w", err)
	}
	return list.GetChanges(), nil
}

// changesOf returns the changes of an answer, packed or not.
func changesOf(f *wire.Following) ([]*wire.ObjectChange, error) {
	if len(f.GetPackedChanges()) > 0 {
		return unpack(f.GetPackedChanges())
	}
	return f.GetChanges(), nil
}
