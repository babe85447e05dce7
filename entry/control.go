package entry

// controlLoop does the work that one entry at a time does under a lease.
func (e *Entry) controlLoop() {
	<-e.context.Done()
}
