// Package splitter divides the text of a JSON array or object into its elements without
// decoding them. An element that a decoder refuses, because it is nested too deeply or
// holds a number that does not fit, thus costs neither its neighbours nor the members
// beside the array. Nothing here recurses, and strings and numbers are not checked.
//
// # Usage
//
//	members, err := splitter.Members(body)
//	entries, err := splitter.Elements(members["entries"].Text)
package splitter

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrNotJSON is returned for text whose elements cannot be told apart.
var ErrNotJSON = errors.New("cannot be divided into JSON values")

// Value is the text of one value.
type Value struct {
	Text []byte
	// Depth is how many arrays and objects are open at the deepest place of the value.
	Depth int
}

// Elements returns the values of an array. It returns none for null and for no text.
func Elements(text []byte) ([]Value, error) {
	s := scanner{text: text}
	if s.isNull() {
		return nil, nil
	}
	list := []Value{}
	err := s.each('[', ']', func() error {
		v, err := s.value()
		list = append(list, v)
		return err
	})
	return list, err
}

// Members returns the values of an object by name. Of members with the same name it
// returns the last one.
func Members(text []byte) (map[string]Value, error) {
	s := scanner{text: text}
	members := map[string]Value{}
	err := s.each('{', '}', func() error {
		key, err := s.value()
		if err != nil {
			return err
		}
		name := ""
		if err := json.Unmarshal(key.Text, &name); err != nil || !s.take(':') {
			return s.failure("a name and a colon")
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// scanner reads a text from its beginning.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) failure(expected string) error {
	return fmt.Errorf("%w: expected %s at byte %d of %d", ErrNotJSON, expected, s.at, len(s.text))
}

// skipSpace skips white space and reports whether anything is left.
func (s *scanner) skipSpace() bool {
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return true
		}
	}
	return false
}

// take skips white space and one byte, if it is the next one.
func (s *scanner) take(b byte) bool {
	if !s.skipSpace() || s.text[s.at] != b {
		return false
	}
	s.at++
	return true
}

func (s *scanner) isNull() bool {
	return !s.skipSpace() || string(s.text[s.at:min(s.at+4, len(s.text))]) == "null"
}

// each calls read at each element between two brackets, beyond which there must be nothing.
func (s *scanner) each(opening, closing byte, read func() error) error {
	if !s.take(opening) {
		return s.failure(string(opening))
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return s.failure("a comma")
		}
		if err := read(); err != nil {
			return err
		}
	}
	if s.skipSpace() {
		return s.failure("the end")
	}
	return nil
}

// value reads one value.
func (s *scanner) value() (Value, error) {
	if !s.skipSpace() {
		return Value{}, s.failure("a value")
	}
	v := Value{}
	start := s.at
	// open holds the closing brackets that are still to come.
	open := []byte{}
	for s.at < len(s.text) {
		b := s.text[s.at]
		switch {
		case b == '"':
			if err := s.skipString(); err != nil {
				return Value{}, err
			}
		case b == '{' || b == '[':
			// The closing bracket is two bytes further in ASCII.
			open = append(open, b+2)
			v.Depth = max(v.Depth, len(open))
			s.at++
		case len(open) == 0 && isEnd(b):
			return Value{}, s.failure("a value")
		case b == '}' || b == ']':
			if open[len(open)-1] != b {
				return Value{}, s.failure("another bracket")
			}
			open = open[:len(open)-1]
			s.at++
		case len(open) == 0:
			s.skipScalar()
		default:
			s.at++
		}
		if len(open) == 0 {
			v.Text = s.text[start:s.at]
			return v, nil
		}
	}
	return Value{}, s.failure("a closing bracket")
}

// skipString skips a string that begins here.
func (s *scanner) skipString() error {
	for i := s.at + 1; i < len(s.text); i++ {
		switch s.text[i] {
		case '\\':
			i++
		case '"':
			s.at = i + 1
			return nil
		}
	}
	return s.failure("the end of a string")
}

// skipScalar skips a number, true, false, null, or what stands in place of one.
func (s *scanner) skipScalar() {
	for s.at < len(s.text) && !isEnd(s.text[s.at]) {
		s.at++
	}
}

// isEnd reports whether a byte ends a value that has no brackets or quotes.
func isEnd(b byte) bool {
	switch b {
	case ',', ':', '}', ']', '{', '[', '"', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}
