package memory

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of ReadAll.
var (
	ErrTooLong = errors.New("it is longer than may be held")
	ErrFull    = errors.New("the memory for it is used up")
)

// Sizes of the pieces into which ReadAll reads, in bytes.
const (
	firstPiece = 16 << 10
	maxPiece   = 256 << 10
)

// ReadAll reads to the end, into memory that is reserved as it is needed: what was announced and does not
// come holds nothing. The length is -1 if it is unknown. It returns what was reserved, also with an error,
// which is ErrTooLong beyond the most bytes, ErrFull if the budget has no room, or that of the reader.
func ReadAll(r io.Reader, length, most int64, l *Lease) (data []byte, reserved int64, err error) {
	if length > most {
		return nil, 0, ErrTooLong
	}
	left := most + 1 // one byte more, to read the end
	if length >= 0 {
		left = length + 1
	}
	var full [][]byte
	for size := int64(firstPiece); left > 0; size = min(2*size, maxPiece) {
		size = min(size, left)
		if !l.Take(size) {
			return nil, reserved, ErrFull
		}
		reserved, left = reserved+size, left-size
		piece, err := readPiece(r, make([]byte, 0, size))
		if err == io.EOF && len(full) == 0 {
			return piece, reserved, nil
		}
		full = append(full, piece)
		if err == io.EOF {
			return join(full, reserved, l)
		}
		if err != nil {
			return nil, reserved, err
		}
	}
	return nil, reserved, ErrTooLong
}

// readPiece reads until a piece is full. Its error is that of the reader.
func readPiece(r io.Reader, piece []byte) ([]byte, error) {
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// join returns the pieces as one, which takes the place of what was reserved for them.
func join(pieces [][]byte, reserved int64, l *Lease) ([]byte, int64, error) {
	size := int64(0)
	for _, p := range pieces {
		size += int64(len(p))
	}
	if !l.Take(size) {
		return nil, reserved, ErrFull
	}
	data := slices.Concat(pieces...)
	l.Return(reserved)
	return data, size, nil
}
