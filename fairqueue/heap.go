package fairqueue

import "container/heap"

// indexedHeap is a binary heap whose elements know their place, so that any element can be moved or removed in
// O(log n).
type indexedHeap[T any] struct {
	elements []T
	less     func(a, b T) bool
	place    func(T) *int // place of the element plus one, zero while it is not in the heap
}

func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.place(h.elements[i]), *h.place(h.elements[j]) = i+1, j+1
}

func (h *indexedHeap[T]) Push(element any) {
	h.elements = append(h.elements, element.(T))
	*h.place(element.(T)) = len(h.elements)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	clear(h.elements[last:])
	h.elements = h.elements[:last]
	*h.place(element) = 0
	return element
}

func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.elements) == 0 {
		var none T
		return none, false
	}
	return h.elements[0], true
}

// firstExcept returns the first element other than the given one, which may be the first.
func (h *indexedHeap[T]) firstExcept(element T) (T, bool) {
	if *h.place(element) != 1 {
		return h.first()
	}
	if len(h.elements) < 2 {
		var none T
		return none, false
	}
	second := h.elements[1]
	if len(h.elements) > 2 && h.less(h.elements[2], second) {
		second = h.elements[2]
	}
	return second, true
}

// set adds or removes the element, or moves it to its new place after its order changed.
func (h *indexedHeap[T]) set(element T, member bool) {
	place := *h.place(element)
	switch {
	case member && place == 0:
		heap.Push(h, element)
	case member:
		heap.Fix(h, place-1)
	case place != 0:
		heap.Remove(h, place-1)
	}
}
