package reserver

import (
	"math/bits"
	"sync"
)

const (
	// minPieceBytes and maxPieceBytes are the sizes of the smallest and the largest piece of a body
	// that is used again. Those between are twice as large as the next smaller one.
	minPieceBytes = 8 << 10
	maxPieceBytes = 256 << 10
	pieceSizes    = 6
)

// unusedPieces holds unused pieces by their size. A flood of bodies that do not come to their end
// would otherwise leave more garbage than the collector can follow.
var unusedPieces [pieceSizes]sync.Pool

// sizeClass returns the index of a size in unusedPieces, or reports that it has none.
func sizeClass(size int) (int, bool) {
	class := bits.Len(uint(size)) - bits.Len(uint(minPieceBytes))
	return class, class >= 0 && class < pieceSizes && size == minPieceBytes<<class
}

func newPiece(size int) []byte {
	if class, ok := sizeClass(size); ok {
		if piece, ok := unusedPieces[class].Get().(*[]byte); ok {
			return (*piece)[:0]
		}
	}
	return make([]byte, 0, size)
}

// freePieces makes pieces available to other bodies.
func freePieces(pieces [][]byte) {
	for _, piece := range pieces {
		if class, ok := sizeClass(cap(piece)); ok {
			unusedPieces[class].Put(&piece)
		}
	}
}
