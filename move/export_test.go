package move

// LogRatios exports logRatios to the tests.
func LogRatios(newEvents, newCount, oldEvents, oldCount int) []float64 {
	r := logRatios(newEvents, newCount, oldEvents, oldCount)
	return r[:]
}
