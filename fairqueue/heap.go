package fairqueue

import "container/heap"

// indexedHeap is a binary heap that stores the index of each element in the element, so that any element can be moved or
// removed in O(log n).
type indexedHeap[T any] struct {
	elements []T
	less     func(a, b T) bool
	index    func(T) *int // index of the element plus one; zero while it is not in the heap
}

func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.index(h.elements[i]), *h.index(h.elements[j]) = i+1, j+1
}

func (h *indexedHeap[T]) Push(element any) {
	h.elements = append(h.elements, element.(T))
	*h.index(element.(T)) = len(h.elements)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	clear(h.elements[last:])
	h.elements = h.elements[:last]
	*h.index(element) = 0
	return element
}

// first returns the first element without removing it, and false if the heap is empty.
func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.elements) == 0 {
		var none T
		return none, false
	}
	return h.elements[0], true
}

// firstExcept returns the first element other than the given one, and false if there is none.
func (h *indexedHeap[T]) firstExcept(element T) (T, bool) {
	if *h.index(element) != 1 {
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

// update adds or removes the element, so that afterwards it is in the heap if inHeap is true. An element that stays in the
// heap is moved to its place in the order, which may have changed.
func (h *indexedHeap[T]) update(element T, inHeap bool) {
	index := *h.index(element)
	switch {
	case inHeap && index == 0:
		heap.Push(h, element)
	case inHeap:
		heap.Fix(h, index-1)
	case index != 0:
		heap.Remove(h, index-1)
	}
}
