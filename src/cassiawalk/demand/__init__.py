"""What is measured of services for the scaler: prefill demand, prefill speed and upstreams."""
