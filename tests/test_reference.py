import pytest

from tools import reference


@pytest.mark.parametrize("name", reference.PAGES)
def test_page_agrees_with_the_code(name: str) -> None:
    path, text, wanted = reference.updated(name)
    assert text == wanted, f"run python -m tools.reference to update {path.name}"
