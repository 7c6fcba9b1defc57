"""What a host knows from the store: configuration and upstreams, their age, and copies of them."""
