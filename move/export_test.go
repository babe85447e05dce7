package move

// LogRatios gives the tests access to the likelihood ratios.
func LogRatios(newEvents, newCount, oldEvents, oldCount int) []float64 {
	r := logRatios(newEvents, newCount, oldEvents, oldCount)
	return r[:]
}
