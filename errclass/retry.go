package errclass

import "time"

// Retry repeats a call for as long as it fails for a moment, going by classify, and so long has not passed.
func Retry(classify func(error) Class, within, pause time.Duration, call func() error) error {
	for began := time.Now(); ; time.Sleep(pause) {
		err := call()
		if classify(err) != Transient || time.Since(began) > within {
			return err
		}
	}
}

const (
	readRetryTimeout  = 5 * time.Second
	readRetryInterval = 20 * time.Millisecond
)

// ReadFile reads a whole file by a function such as os.ReadFile, and tries again while that fails for a moment.
func ReadFile(read func(name string) ([]byte, error), name string) (text []byte, err error) {
	err = Retry(File, readRetryTimeout, readRetryInterval, func() error {
		text, err = read(name)
		return err
	})
	return text, err
}
