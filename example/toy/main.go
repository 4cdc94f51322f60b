// Command toy plays what a delivery node of example/config.json speaks to: a directory that also takes notices,
// and three destinations. Number 1 takes everything, 2 answers 500, and 3 tells each first call to wait a second.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	directoryAt = "127.0.0.1:8500"
	firstPort   = 9001 // of destination 1; the others follow
	aliveEvery  = 2 * time.Second
)

func main() {
	for block := 1; block <= 3; block++ {
		go func() { log.Fatal(http.ListenAndServe(address(block), destination(block))) }()
	}
	log.Fatal(http.ListenAndServe(directoryAt, directory()))
}

func address(block int) string { return "127.0.0.1:" + strconv.Itoa(firstPort+block-1) }

// directory lists one endpoint for each destination, which never change, and prints notices.
func directory() http.Handler {
	var hosts []string
	for block := 1; block <= 3; block++ {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":"%s","site":"here","class":"large","block":%d,`+
			`"health":"Ready","share":1.0,"born_ms":0}`, block, address(block), block))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[%s]}`+"\n", strings.Join(hosts, ","))
		for r.URL.Query().Get("watch") != "" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(aliveEvery):
				fmt.Fprintln(w)
			}
		}
	})
	mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			log.Print("notice ", lines.Text())
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// destination answers calls of one event and of several.
func destination(block int) http.Handler {
	var mu sync.Mutex
	seen := make(map[string]bool)
	answer := func(id string) (status int, word string) {
		mu.Lock()
		defer mu.Unlock()
		again := seen[id]
		seen[id] = true
		switch {
		case block == 2:
			return http.StatusInternalServerError, "failed"
		case block == 3 && !again:
			return http.StatusTooManyRequests, "busy"
		}
		return http.StatusOK, "done"
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("Req-Id")
		status, word := answer(id)
		log.Printf("destination %d: %s %s (%d bytes)", block, id, word, len(body))
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1.0")
		}
		w.WriteHeader(status)
	})
	mux.HandleFunc("POST /inbox/bulk", func(w http.ResponseWriter, r *http.Request) {
		in := bufio.NewReader(r.Body)
		var ends strings.Builder
		for {
			line, err := in.ReadString('\n')
			field := strings.Fields(line)
			if err != nil || len(field) != 3 {
				break
			}
			size, _ := strconv.Atoi(field[2])
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				break
			}
			_, word := answer(field[0])
			log.Printf("destination %d: %s %s (%d bytes, with others)", block, field[0], word, size)
			fmt.Fprintf(&ends, "%s %s\r\n", field[0], word)
		}
		if block == 3 {
			w.Header().Set("Retry-After", "1.0")
		}
		io.WriteString(w, ends.String())
	})
	return mux
}
