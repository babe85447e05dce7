package entry

import (
	"io"
	"sync"
)

// notifyingBody calls onClose when the body is first closed.
type notifyingBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body and calls onClose.
func (b *notifyingBody) Close() error {
	defer b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}
