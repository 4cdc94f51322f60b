package errclass

import "time"

// Retry repeats a call for as long as it fails for a moment, going by classify, and so long has not passed.
func Retry(classify func(error) Class, within, pause time.Duration, call func() error) error {
	for began := time.Now(); ; time.Sleep(pause) {
		err := call()
		if classify(err) != Momentary || time.Since(began) > within {
			return err
		}
	}
}
