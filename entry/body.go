package entry

import (
	"io"
	"sync"
)

// countedBody calls done once when the answer is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close closes the answer.
func (b *countedBody) Close() error {
	defer b.once.Do(b.done)
	return b.ReadCloser.Close()
}
