import bulrushcove


def test_public_names_exist_and_are_sorted():
    assert all(hasattr(bulrushcove, name) for name in bulrushcove.__all__)
    assert list(bulrushcove.__all__) == sorted(bulrushcove.__all__)
