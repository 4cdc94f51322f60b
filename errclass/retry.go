package errclass

import "time"

// Retry repeats call while classify reports its error as Transient and timeout has not elapsed since the start. It returns
// the error of the last call.
func Retry(classify func(error) Class, timeout, interval time.Duration, call func() error) error {
	for start := time.Now(); ; time.Sleep(interval) {
		err := call()
		if classify(err) != Transient || time.Since(start) > timeout {
			return err
		}
	}
}

const (
	readRetryTimeout  = 5 * time.Second
	readRetryInterval = 20 * time.Millisecond
)

// ReadFile reads a file with a function such as os.ReadFile, and retries while it fails with a transient error.
func ReadFile(read func(name string) ([]byte, error), name string) (data []byte, err error) {
	err = Retry(File, readRetryTimeout, readRetryInterval, func() error {
		data, err = read(name)
		return err
	})
	return data, err
}
