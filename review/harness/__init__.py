"""Stand-ins and helpers for the cases of the review: proxy process, discovery, backends, clients, record."""
